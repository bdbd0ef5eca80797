package rhubarbknot.cli.bench

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.CellRow
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TeamRow
import java.util.PriorityQueue

/** Start of one attempt in virtual time. */
data class AttemptStart(
    val attempt: AttemptId,
    val executor: ExecutorId,
    val spec: JobSpec,
    val atMillis: Long,
)

/**
 * A cell whose executors run tasks in virtual time. [trueMillis] gives the actual run time, which may differ from the
 * declared one.
 */
class VirtualCell(
    policy: CellPolicy,
    private val trueMillis: (AttemptStart) -> Long,
    private val checkpointMillis: () -> Long = { 300 },
) {
    val cell = Cell(policy)
    var now = 1_000L
        private set
    private val scheduledEnds = PriorityQueue<ScheduledEnd>(compareBy({ it.at }, { it.seq }))
    private val executorsByAttempt = HashMap<AttemptId, ExecutorId>()
    private var seq = 0L
    var onStart: (AttemptStart) -> Unit = {}
    var onEnd: (AttemptId) -> Unit = {}
    var onStop: (AttemptId) -> Unit = {}

    private class ScheduledEnd(
        val at: Long,
        val seq: Long,
        val attempt: AttemptId,
        val state: AttemptState,
    )

    fun table(
        rows: List<TeamRow>,
        version: Long = 1,
    ) = apply(CellCommand.Configure(ZoneView(version, ZONE, true, rows.map { CellRow(it, it.ceiling) })))

    fun join(
        name: String,
        kind: ExecutorKind,
        capacity: Resources,
        rack: String = "",
    ) = apply(CellCommand.Join(ExecutorInfo(ExecutorId(name), "1", kind, capacity, rack, session = 1)))

    fun submitCommand(
        team: TeamId,
        id: String,
        spec: JobSpec,
        queue: String = team.name,
    ): CellCommand = CellCommand.Submit(RequestId(id), JobId(team, id), QueueId(queue), spec, 0)

    fun submit(
        team: TeamId,
        id: String,
        spec: JobSpec,
        queue: String = team.name,
    ) = apply(submitCommand(team, id, spec, queue))

    fun apply(vararg commands: CellCommand) = apply(commands.toList())

    fun apply(commands: List<CellCommand>) = cell.reduce(CellBatch(now, commands)).forEach { execute(it) }

    private fun execute(effect: CellEffect) {
        when (effect) {
            is CellEffect.Start -> recordStart(AttemptStart(effect.attempt, effect.executor, effect.spec, now))
            is CellEffect.Stop -> if (effect.attempt in executorsByAttempt) recordStop(effect)
            else -> Unit
        }
    }

    private fun recordStart(start: AttemptStart) {
        executorsByAttempt[start.attempt] = start.executor
        scheduledEnds.add(ScheduledEnd(now + trueMillis(start), seq++, start.attempt, AttemptState.COMPLETED))
        onStart(start)
    }

    private fun recordStop(effect: CellEffect.Stop) {
        if (effect.mode == StopMode.THROTTLE) return
        onStop(effect.attempt)
        val state = if (effect.mode == StopMode.CHECKPOINT) AttemptState.CHECKPOINTED else AttemptState.KILLED
        scheduledEnds.add(ScheduledEnd(now + checkpointMillis(), seq++, effect.attempt, state))
    }

    /** Advances virtual time to [until], with the ticks that a leader would send. */
    fun run(until: Long) {
        while (now < until) {
            val next = scheduledEnds.peek()
            val tickAt = (now / TICK_MILLIS + 1) * TICK_MILLIS
            if (next != null && next.at <= minOf(tickAt, until)) {
                scheduledEnds.poll()
                now = maxOf(now, next.at)
                end(next)
            } else {
                now = minOf(tickAt, until)
                if (now % TICK_MILLIS == 0L && cell.nextWakeMillis() != null) apply(CellCommand.Tick)
            }
        }
    }

    private fun end(end: ScheduledEnd) {
        val executor = executorsByAttempt.remove(end.attempt) ?: return
        onEnd(end.attempt)
        apply(CellCommand.Ended(executor, AttemptReport(end.attempt, end.state)))
    }

    companion object {
        val ZONE = ZoneId("bench")
        private const val TICK_MILLIS = 100L
    }
}
