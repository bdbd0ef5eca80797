package rhubarbknot.flow.world

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport
import java.util.SplittableRandom

/** A worker with fences, leases on its own slow clock and run numbers. It believes whatever room it is told to use. */
internal class SimulatedWorker(
    val id: String,
    private val oracle: Oracle,
    private val gangs: GangTracker,
    private val random: SplittableRandom,
    var bornAt: Long,
) {
    private class Running(
        val run: RunId,
        val startedAt: Long,
        val takesMillis: Long,
        val isGang: Boolean,
    )

    private val running = LinkedHashMap<TaskId, Running>()
    private val ended = ArrayList<NumberedRunEnd>()
    private val highest = HashMap<TaskId, Int>()
    private val clockRate = 1.0 - random.nextInt(SLOWEST_PERCENT) / 100.0
    private var lastNumber = 0L
    private var fence = 0L
    private var deadline = 0L
    private var sequence = 0L

    /** Whether its process is down. */
    var isDown = false

    /** Whether everything that it starts fails. */
    var isGrey = false

    /** Until when nothing that runs here comes on. */
    var standsStillUntil = 0L
    val life: WorkerIncarnation get() = WorkerIncarnation(id, bornAt)

    private fun clock(now: Long): Long = ((now - bornAt) * clockRate).toLong()

    fun report(now: Long) = WorkerReport(life, "pool", "10.9.0.1:$id", "z1", false, ROOM, emptyList(), "r1", clock(now), ++sequence)

    /** Everything that ran is gone, and it starts anew under its old name. */
    fun bornAgain(now: Long) {
        running.values.toList().forEach {
            gangs.ended(it.run, isDone = false)
            oracle.ended(it.run, id, RunOutcome.LOST)
        }
        ended.forEach { oracle.excused(it.end.run) }
        running.clear()
        ended.clear()
        highest.clear()
        lastNumber = 0
        fence = 0
        deadline = 0
        sequence = 0
        bornAt = now
    }

    /** Ends what is over at [now]. */
    fun tick(now: Long) {
        if (clock(now) > deadline) {
            running.keys.toList().forEach { end(it, RunOutcome.LEASE_EXPIRED) }
            ended.forEach { oracle.excused(it.end.run) }
        }
        if (now < standsStillUntil) return
        running.values.toList().forEach { run -> endOf(run, now)?.let { end(run.run.task, it) } }
    }

    /** How [run] is over at [now]; null while it is not. */
    private fun endOf(
        run: Running,
        now: Long,
    ): RunOutcome? {
        val together = if (run.isGang) gangs.completeAt(run.run) else run.startedAt
        return when {
            run.isGang && gangs.isBroken(run.run) -> RunOutcome.GANG_BROKEN
            run.isGang && together == Long.MAX_VALUE -> RunOutcome.GANG_INCOMPLETE.takeIf { now - run.startedAt > GANG_MILLIS }
            now < maxOf(together, run.startedAt) + run.takesMillis && !(run.isGang && gangs.isDone(run.run)) -> null
            isGrey -> RunOutcome.FAILED
            else -> RunOutcome.DONE
        }
    }

    private fun end(
        task: TaskId,
        how: RunOutcome,
    ) {
        val run = running.remove(task)?.run ?: return
        highest.merge(task, run.number, ::maxOf)
        gangs.ended(run, how == RunOutcome.DONE)
        ended += NumberedRunEnd(++lastNumber, RunEnd(run, how))
        oracle.ended(run, id, how)
    }

    fun hasEndsAfter(seen: Long): Boolean = ended.any { it.number > seen }

    /** Carries out [call] at [now]. */
    fun handle(
        call: WorkerCall,
        now: Long,
    ): WorkerReply {
        tick(now)
        if (call.worker.id != id) return WorkerReply.Refused(RefusalReason.OTHER_LIFE, clock(now))
        if (call.fencingToken < fence) return WorkerReply.Refused(RefusalReason.FENCED, clock(now))
        fence = call.fencingToken
        return when (call) {
            is WorkerCall.Start -> start(call, now)
            is WorkerCall.Stop -> stop(call, now)
            is WorkerCall.Renew -> {
                call.deadlineMillis?.let { deadline = maxOf(deadline, minOf(it, clock(now) + HOLD_MAX_MILLIS)) }
                lists(call.lastSeen, now)
            }
        }
    }

    private fun start(
        call: WorkerCall.Start,
        now: Long,
    ): WorkerReply {
        val task = call.run.task
        if (call.deadlineMillis < clock(now)) return WorkerReply.Refused(RefusalReason.LATE, clock(now))
        deadline = maxOf(deadline, minOf(call.deadlineMillis, clock(now) + HOLD_MAX_MILLIS))
        if (running[task]?.run == call.run) return WorkerReply.Done(clock(now))
        if (call.run.number <= (highest[task] ?: 0) || task in running) return WorkerReply.Refused(RefusalReason.OLD_RUN, clock(now))
        val gang = oracle.gangSize(task)
        if (gang > 0) gangs.joined(call.run, gang, now)
        running[task] = Running(call.run, now, random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS), gang > 0)
        oracle.started(now, call.run, id, ROOM)
        return WorkerReply.Done(clock(now))
    }

    private fun stop(
        call: WorkerCall.Stop,
        now: Long,
    ): WorkerReply {
        val task = call.run.task
        highest.merge(task, call.run.number, ::maxOf)
        if (running[task]?.run == call.run) end(task, RunOutcome.STOPPED)
        return WorkerReply.Done(clock(now))
    }

    private fun lists(
        seen: Long,
        now: Long,
    ): WorkerReply {
        ended.filter { it.number <= seen && it.end.ending == RunOutcome.DONE }.forEach { oracle.noted(it.end.run) }
        ended.removeIf { it.number <= seen }
        val rows = running.values.map { RunningRun(it.run, "", ((now - it.startedAt) * 100 / it.takesMillis).toInt().coerceAtMost(99)) }
        return WorkerReply.Runs(bornAt, clock(now), rows, ArrayList(ended))
    }

    companion object {
        val ROOM = Resources(milliCpus = 4_000, memoryMb = 4_000)
        private const val HOLD_MAX_MILLIS = 10_000L
        private const val GANG_MILLIS = 3_000L
        private const val SLOWEST_PERCENT = 3
        private const val SHORTEST_MILLIS = 50L
        private const val LONGEST_MILLIS = 900L
    }
}
