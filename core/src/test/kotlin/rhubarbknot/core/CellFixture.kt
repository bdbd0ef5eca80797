package rhubarbknot.core

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.CellRow
import rhubarbknot.core.registry.ZoneOffer
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TeamRow

/** A cell with two teams, to which tests apply single commands, and the start and stop effects that it returned. */
abstract class CellFixture {
    protected val cell = Cell(CellPolicy(quarantinePercent = 50))
    protected val crew = TeamId("crew")
    protected val mill = TeamId("mill")
    protected var now = 1_000L
    protected var version = 1L
    protected val starts = ArrayList<CellEffect.Start>()
    protected val stops = ArrayList<CellEffect.Stop>()

    protected fun apply(vararg commands: CellCommand): List<CellEffect> {
        val effects = cell.reduce(CellBatch(now, commands.toList()))
        starts += effects.filterIsInstance<CellEffect.Start>()
        stops += effects.filterIsInstance<CellEffect.Stop>()
        return effects
    }

    protected fun configure(
        crewLimit: Int = 100,
        millLimit: Int = 100,
        inService: Boolean = true,
        others: List<ZoneOffer> = emptyList(),
        retriesPerMinute: Int = 600,
        overtakeSeconds: Int = 60,
    ) = apply(
        CellCommand.Configure(
            ZoneView(
                version++,
                ZoneId("kalaa"),
                inService,
                listOf(
                    CellRow(TeamRow(crew, 1, 100, retriesPerMinute = retriesPerMinute, overtakeSeconds = overtakeSeconds), crewLimit),
                    CellRow(TeamRow(mill, 1, 100), millLimit),
                ),
                others,
            ),
        ),
    )

    protected fun worker(
        name: String = "w",
        cpus: Int = 8,
    ) = apply(CellCommand.Join(ExecutorInfo(ExecutorId(name), "1", ExecutorKind.WORKER, Resources(cpus * 1_000, 8_000), session = 1)))

    protected fun endpoint(
        name: String,
        slots: Int = 1,
    ) = apply(CellCommand.Join(ExecutorInfo(ExecutorId(name), "1", ExecutorKind.ENDPOINT, Resources(slots = slots), session = 1)))

    protected fun submit(
        id: String,
        spec: JobSpec,
        team: TeamId = crew,
        queue: String = team.name,
    ) = apply(CellCommand.Submit(RequestId("r-$id"), JobId(team, id), QueueId(queue), spec, id.hashCode().toLong()))

    protected fun batch(
        cpus: Int,
        tasks: Int = 1,
        gang: Boolean = false,
        idempotent: Boolean = true,
        urgent: Boolean = false,
        declaredMillis: Long = 0,
    ) = JobSpec(WorkKind.BATCH, tasks, gang, Resources(cpus * 1_000, 100), idempotent, urgent, declaredMillis)

    protected fun end(
        start: CellEffect.Start,
        state: AttemptState = AttemptState.COMPLETED,
        text: String = "",
    ) = apply(CellCommand.Ended(start.executor, AttemptReport(start.attempt, state, text)))

    protected fun tick(millis: Long): List<CellEffect> {
        now += millis
        return apply(CellCommand.Tick)
    }

    protected fun outcome(
        id: String,
        team: TeamId = crew,
    ) = cell.job(JobId(team, id))?.outcome

    protected fun started(id: String) = starts.filter { it.attempt.job.local == id }
}
