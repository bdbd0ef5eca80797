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

/** A worker that enforces fencing tokens, run numbers and leases by its own slow clock. It does not check its capacity. */
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
        val runMillis: Long,
        val isGang: Boolean,
    )

    private val running = LinkedHashMap<TaskId, Running>()
    private val runEnds = ArrayList<NumberedRunEnd>()
    private val highestRuns = HashMap<TaskId, Int>()
    private val clockRate = 1.0 - random.nextInt(MAX_CLOCK_LAG_PERCENT) / 100.0
    private var lastEndNumber = 0L
    private var highestFencingToken = 0L
    private var leaseDeadline = 0L
    private var sequence = 0L

    /** Whether the process is down. */
    var isDown = false

    /** Whether every run on this worker fails. */
    var failsAllRuns = false

    /** Time until which runs on this worker make no progress. */
    var stalledUntil = 0L
    val incarnation: WorkerIncarnation get() = WorkerIncarnation(id, bornAt)

    private fun clock(now: Long): Long = ((now - bornAt) * clockRate).toLong()

    fun report(now: Long) =
        WorkerReport(incarnation, "pool", "10.9.0.1:$id", "z1", false, CAPACITY, emptyList(), "r1", clock(now), ++sequence)

    /** Drops all runs and starts a new incarnation with the same id. */
    fun restart(now: Long) {
        running.values.toList().forEach {
            gangs.memberEnded(it.run, isDone = false)
            oracle.runEnded(it.run, id, RunOutcome.LOST)
        }
        runEnds.forEach { oracle.exempt(it.end.run) }
        running.clear()
        runEnds.clear()
        highestRuns.clear()
        lastEndNumber = 0
        highestFencingToken = 0
        leaseDeadline = 0
        sequence = 0
        bornAt = now
    }

    /** Ends the runs that are over at [now]. */
    fun tick(now: Long) {
        if (clock(now) > leaseDeadline) {
            running.keys.toList().forEach { end(it, RunOutcome.LEASE_EXPIRED) }
            runEnds.forEach { oracle.exempt(it.end.run) }
        }
        if (now < stalledUntil) return
        running.values.toList().forEach { run -> outcomeAt(run, now)?.let { end(run.run.task, it) } }
    }

    /** Outcome of [run] at [now]; null while it is not over. */
    private fun outcomeAt(
        run: Running,
        now: Long,
    ): RunOutcome? {
        val completeAt = if (run.isGang) gangs.completeAt(run.run) else run.startedAt
        return when {
            run.isGang && gangs.isBroken(run.run) -> RunOutcome.GANG_BROKEN
            run.isGang && completeAt == Long.MAX_VALUE -> RunOutcome.GANG_INCOMPLETE.takeIf { now - run.startedAt > GANG_WAIT_MILLIS }
            now < maxOf(completeAt, run.startedAt) + run.runMillis && !(run.isGang && gangs.isDone(run.run)) -> null
            failsAllRuns -> RunOutcome.FAILED
            else -> RunOutcome.DONE
        }
    }

    private fun end(
        task: TaskId,
        outcome: RunOutcome,
    ) {
        val run = running.remove(task)?.run ?: return
        highestRuns.merge(task, run.number, ::maxOf)
        gangs.memberEnded(run, outcome == RunOutcome.DONE)
        runEnds += NumberedRunEnd(++lastEndNumber, RunEnd(run, outcome))
        oracle.runEnded(run, id, outcome)
    }

    fun hasEndsAfter(seen: Long): Boolean = runEnds.any { it.number > seen }

    /** Executes [call] at [now]. */
    fun handle(
        call: WorkerCall,
        now: Long,
    ): WorkerReply {
        tick(now)
        if (call.worker.id != id) return WorkerReply.Refused(RefusalReason.OTHER_LIFE, clock(now))
        if (call.fencingToken < highestFencingToken) return WorkerReply.Refused(RefusalReason.FENCED, clock(now))
        highestFencingToken = call.fencingToken
        return when (call) {
            is WorkerCall.Start -> start(call, now)
            is WorkerCall.Stop -> stop(call, now)
            is WorkerCall.Renew -> {
                call.deadlineMillis?.let { leaseDeadline = maxOf(leaseDeadline, minOf(it, clock(now) + MAX_LEASE_MILLIS)) }
                listRuns(call.lastSeen, now)
            }
        }
    }

    private fun start(
        call: WorkerCall.Start,
        now: Long,
    ): WorkerReply {
        val task = call.run.task
        if (call.deadlineMillis < clock(now)) return WorkerReply.Refused(RefusalReason.LATE, clock(now))
        leaseDeadline = maxOf(leaseDeadline, minOf(call.deadlineMillis, clock(now) + MAX_LEASE_MILLIS))
        if (running[task]?.run == call.run) return WorkerReply.Done(clock(now))
        if (call.run.number <= (highestRuns[task] ?: 0) || task in running) return WorkerReply.Refused(RefusalReason.OLD_RUN, clock(now))
        val gang = oracle.gangSize(task)
        if (gang > 0) gangs.memberStarted(call.run, gang, now)
        running[task] = Running(call.run, now, random.nextLong(MIN_RUN_MILLIS, MAX_RUN_MILLIS), gang > 0)
        oracle.runStarted(now, call.run, id, CAPACITY)
        return WorkerReply.Done(clock(now))
    }

    private fun stop(
        call: WorkerCall.Stop,
        now: Long,
    ): WorkerReply {
        val task = call.run.task
        highestRuns.merge(task, call.run.number, ::maxOf)
        if (running[task]?.run == call.run) end(task, RunOutcome.STOPPED)
        return WorkerReply.Done(clock(now))
    }

    private fun listRuns(
        seen: Long,
        now: Long,
    ): WorkerReply {
        runEnds.filter { it.number <= seen && it.end.ending == RunOutcome.DONE }.forEach { oracle.acknowledged(it.end.run) }
        runEnds.removeIf { it.number <= seen }
        val rows = running.values.map { RunningRun(it.run, "", ((now - it.startedAt) * 100 / it.runMillis).toInt().coerceAtMost(99)) }
        return WorkerReply.Runs(bornAt, clock(now), rows, ArrayList(runEnds))
    }

    companion object {
        val CAPACITY = Resources(milliCpus = 4_000, memoryMb = 4_000)
        private const val MAX_LEASE_MILLIS = 10_000L
        private const val GANG_WAIT_MILLIS = 3_000L
        private const val MAX_CLOCK_LAG_PERCENT = 3
        private const val MIN_RUN_MILLIS = 50L
        private const val MAX_RUN_MILLIS = 900L
    }
}
