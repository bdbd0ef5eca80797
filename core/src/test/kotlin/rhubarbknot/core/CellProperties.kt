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

/**
 * One step of a property-based run.
 *
 * @property action number of the action, see [StepPlayer.play].
 * @property zone number from which the zone is selected.
 * @property target number from which the executor or the team is selected.
 * @property variant number from which the details of the action are derived.
 */
data class Step(
    val action: Int,
    val zone: Int,
    val target: Int,
    val variant: Int,
)

/** Executes steps on a [SimulatedCluster]. */
class StepPlayer(
    private val cluster: SimulatedCluster,
) {
    private var jobCount = 0
    private val submittedIds = ArrayList<JobId>()

    fun play(step: Step) {
        val zone = cluster.zones[step.zone % 2]
        val executor = cluster.executors[step.target % cluster.executors.size]
        when (step.action) {
            in 0..5 -> submit(step)
            6 -> resubmit(step)
            in 7..10 -> endAttempt(step, AttemptState.COMPLETED)
            11 -> endAttempt(step, AttemptState.FAILED)
            12 -> cluster.heartbeat(executor)
            13 -> cluster.expireLease(executor)
            14 -> if (!executor.connected) cluster.join(executor)
            15 -> cluster.crash(executor)
            16 -> cluster.join(executor)
            17 -> cancelSubset(step)
            18 -> advanceTime(step, millis = 100)
            19 -> advanceTime(step, millis = 2_500)
            20 -> cluster.deliverDelayed()
            21 -> cluster.restart(zone)
            22 -> setZoneService(step)
            23 -> editTable(step)
            24 -> cluster.rebalance()
            25 -> cluster.configure(zone)
            26 -> cluster.applyToCell(zone, CellCommand.Hold(step.variant % 2 == 0))
            27 -> reportUsage(step)
            28 -> executor.ignoresSoftStop = step.variant % 2 == 0
            else -> cluster.applyToCell(zone, CellCommand.Leave(executor.info.id))
        }
    }

    private fun submit(step: Step) {
        val team = cluster.teams[step.target % cluster.teams.size]
        val id = JobId(team, "j${jobCount++}")
        submittedIds += id
        cluster.submit(homeZone(id), id, jobSpec(step))
    }

    private fun jobSpec(step: Step): JobSpec {
        val idempotent = step.variant % 3 != 0
        val urgent = step.variant % 5 == 0
        return when (step.action) {
            0, 1 -> JobSpec(WorkKind.CALL, idempotent = idempotent, urgent = urgent, payload = "p${step.variant}")
            2 ->
                JobSpec(
                    WorkKind.BATCH,
                    tasks = 1 + step.variant % 3,
                    gang = step.variant % 2 == 0,
                    need = taskSize(step),
                    idempotent = idempotent,
                )
            3 -> JobSpec(WorkKind.SERVICE, tasks = 1 + step.variant % 2, need = taskSize(step))
            4 ->
                JobSpec(
                    WorkKind.BATCH,
                    need = taskSize(step),
                    idempotent = idempotent,
                    deadlineMillis = if (step.variant % 4 == 0) 1_000L else 0L,
                )
            else ->
                JobSpec(
                    WorkKind.BATCH,
                    need = taskSize(step),
                    idempotent = idempotent,
                    urgent = urgent,
                    expectedRunMillis = 100L * step.variant,
                )
        }
    }

    private fun taskSize(step: Step): Resources {
        val accelerators = if (step.variant % 11 == 0) 1 else 0
        return Resources(milliCpus = 1_000 * (1 + step.variant % 6), memoryMb = 500 * (1 + step.target % 8), accelerators = accelerators)
    }

    private fun resubmit(step: Step) {
        val id = submittedIds.getOrNull(step.variant % maxOf(1, submittedIds.size)) ?: return
        cluster.submit(homeZone(id), id, cluster.specs.getValue(id))
    }

    /** The zone is derived from the job id, so that a repeated submission reaches the same cell as the first. */
    private fun homeZone(id: JobId) = cluster.zones[id.local.last().digitToInt() % 2]

    private fun endAttempt(
        step: Step,
        state: AttemptState,
    ) {
        val executor = cluster.executors[step.target % cluster.executors.size]
        val attempt = executor.running.getOrNull(step.variant % maxOf(1, executor.running.size)) ?: return
        cluster.finish(executor, attempt, state)
    }

    private fun cancelSubset(step: Step) {
        val cancelledIds = submittedIds.filterIndexed { i, _ -> i % (2 + step.variant % 4) == 0 }
        cluster.applyToCell(cluster.zones[step.zone % 2], CellCommand.Cancel(RequestId("cancel"), cancelledIds))
    }

    private fun advanceTime(
        step: Step,
        millis: Long,
    ) {
        cluster.now += millis
        cluster.applyToCell(cluster.zones[step.zone % 2], CellCommand.Tick)
    }

    private fun setZoneService(step: Step) {
        cluster.change(Edit.SetZone(cluster.zones[step.zone % 2], inService = step.variant % 2 == 0))
        if (step.target % 2 == 0) cluster.zones.forEach { cluster.configure(it) }
    }

    private fun editTable(step: Step) {
        val team = cluster.teams[step.target % cluster.teams.size]
        cluster.change(Edit.Table(listOf(TeamRow(team, share = 1 + step.variant % 3, ceiling = step.variant % 12, urgent = 2))))
        if (step.zone % 2 == 0) cluster.zones.forEach { cluster.configure(it) }
    }

    private fun reportUsage(step: Step) {
        val executor = cluster.executors[step.target % cluster.executors.size]
        val attempt = executor.running.firstOrNull() ?: return
        cluster.applyToCell(executor.zone, CellCommand.Usage(attempt, Resources(milliCpus = 1_000 * (step.variant % 12))))
    }
}

/**
 * Property-based test of the registry and the cells with random sequences of events, in which messages are lost,
 * duplicated and delayed, executors and cells restart, and operations race.
 */
@PropertyDefaults(shrinking = ShrinkingMode.BOUNDED)
class CellProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `invariants hold after every event, and a replay gives a byte-identical state`(
        @ForAll("steps") steps: List<Step>,
        @ForAll clusterSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            val cluster = SimulatedCluster(clusterSeed + run)
            val player = StepPlayer(cluster)
            steps.forEach { player.play(it) }
            cluster.settle()
            cluster.checkReplay()
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

        /** Clusters simulated for each sequence of steps; `-Dfuzz.tries=N` sets the total number of simulations. */
        val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "60").toInt() / TRIES)
    }
}
