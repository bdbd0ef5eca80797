package rhubarbknot.core

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.PropertyDefaults
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.table.TeamRow

/** One step of a fuzz run: what happens, and three numbers that say to whom. */
data class Step(
    val action: Int,
    val a: Int,
    val b: Int,
    val c: Int,
)

/** Plays steps against a [SimulatedCluster]. */
class StepPlayer(
    private val world: SimulatedCluster,
) {
    private var jobs = 0
    private val ids = ArrayList<JobId>()

    fun play(step: Step) {
        val zone = world.zones[step.a % 2]
        val executor = world.executors[step.b % world.executors.size]
        when (step.action) {
            in 0..5 -> submit(step)
            6 -> resend(step)
            in 7..10 -> end(step, AttemptState.COMPLETED)
            11 -> end(step, AttemptState.FAILED)
            12 -> world.heartbeat(executor)
            13 -> world.lose(executor)
            14 -> if (!executor.present) world.join(executor)
            15 -> world.crash(executor)
            16 -> world.join(executor)
            17 -> cancelWave(step)
            18 -> pass(step, millis = 100)
            19 -> pass(step, millis = 2_500)
            20 -> world.deliverLate()
            21 -> world.restart(zone)
            22 -> zoneOutOrIn(step)
            23 -> editTable(step)
            24 -> world.rebalance()
            25 -> world.configure(zone)
            26 -> world.cell(zone, CellCommand.Hold(step.c % 2 == 0))
            27 -> usage(step)
            28 -> executor.sticky = step.c % 2 == 0
            else -> world.cell(zone, CellCommand.Leave(executor.info.id))
        }
    }

    private fun submit(step: Step) {
        val team = world.teams[step.b % world.teams.size]
        val id = JobId(team, "j${jobs++}")
        ids += id
        world.submit(home(id), id, spec(step))
    }

    private fun spec(step: Step): JobSpec {
        val idempotent = step.c % 3 != 0
        val urgent = step.c % 5 == 0
        return when (step.action) {
            0, 1 -> JobSpec(WorkKind.CALL, idempotent = idempotent, urgent = urgent, payload = "p${step.c}")
            2 -> JobSpec(WorkKind.BATCH, tasks = 1 + step.c % 3, gang = step.c % 2 == 0, need = size(step), idempotent = idempotent)
            3 -> JobSpec(WorkKind.SERVICE, tasks = 1 + step.c % 2, need = size(step))
            4 -> JobSpec(WorkKind.BATCH, need = size(step), idempotent = idempotent, deadlineMillis = if (step.c % 4 == 0) 1_000L else 0L)
            else -> JobSpec(WorkKind.BATCH, need = size(step), idempotent = idempotent, urgent = urgent, expectedRunMillis = 100L * step.c)
        }
    }

    private fun size(step: Step): Resources {
        val accelerators = if (step.c % 11 == 0) 1 else 0
        return Resources(milliCpus = 1_000 * (1 + step.c % 6), memoryMb = 500 * (1 + step.b % 8), accelerators = accelerators)
    }

    private fun resend(step: Step) {
        val id = ids.getOrNull(step.c % maxOf(1, ids.size)) ?: return
        world.submit(home(id), id, world.specs.getValue(id))
    }

    /** A resend reaches the same cell as the first, by the job's id. */
    private fun home(id: JobId) = world.zones[id.local.last().digitToInt() % 2]

    private fun end(
        step: Step,
        state: AttemptState,
    ) {
        val executor = world.executors[step.b % world.executors.size]
        val attempt = executor.running.getOrNull(step.c % maxOf(1, executor.running.size)) ?: return
        world.finish(executor, attempt, state)
    }

    private fun cancelWave(step: Step) {
        val wave = ids.filterIndexed { i, _ -> i % (2 + step.c % 4) == 0 }
        world.cell(world.zones[step.a % 2], CellCommand.Cancel(RequestId("cancel"), wave))
    }

    private fun pass(
        step: Step,
        millis: Long,
    ) {
        world.now += millis
        world.cell(world.zones[step.a % 2], CellCommand.Tick)
    }

    private fun zoneOutOrIn(step: Step) {
        world.change(Edit.SetZone(world.zones[step.a % 2], inService = step.c % 2 == 0))
        if (step.b % 2 == 0) world.zones.forEach { world.configure(it) }
    }

    private fun editTable(step: Step) {
        val team = world.teams[step.b % world.teams.size]
        world.change(Edit.Table(listOf(TeamRow(team, share = 1 + step.c % 3, ceiling = step.c % 12, urgent = 2))))
        if (step.a % 2 == 0) world.zones.forEach { world.configure(it) }
    }

    private fun usage(step: Step) {
        val executor = world.executors[step.b % world.executors.size]
        val attempt = executor.running.firstOrNull() ?: return
        world.cell(executor.zone, CellCommand.Usage(attempt, Resources(milliCpus = 1_000 * (step.c % 12))))
    }
}

/** Registry and cells under sequences of events, with lost, doubled and late messages, restarts and races. */
@PropertyDefaults(shrinking = ShrinkingMode.BOUNDED)
class CellProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `every rule holds after every event, and a replay gives the same bytes`(
        @ForAll("steps") steps: List<Step>,
        @ForAll worldSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            val world = SimulatedCluster(worldSeed + run)
            val player = StepPlayer(world)
            steps.forEach { player.play(it) }
            world.settle()
            world.checkReplay()
        }
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val number = Arbitraries.integers().between(0, 99)
        val action = Arbitraries.integers().between(0, 29)
        return Combinators
            .combine(action, number, number, number)
            .`as` {
                a,
                b,
                c,
                d,
                ->
                Step(a, b, c, d)
            }.list()
            .ofMinSize(40)
            .ofMaxSize(200)
    }

    private companion object {
        const val TRIES = 60

        /** Worlds played for each sequence; `-Dfuzz.tries=` asks for more in all. */
        val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "60").toInt() / TRIES)
    }
}
