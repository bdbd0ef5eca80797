package rhubarbknot.host

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec

/** Output of an [ExecutorAgent], to be executed by the worker or endpoint that embeds it. */
sealed interface AgentEffect {
    /** Send [frame] over the current connection. */
    data class Send(
        val frame: FromExecutor,
    ) : AgentEffect

    /** Start [attempt] and report its end with [ExecutorAgent.ended]. */
    data class Run(
        val attempt: AttemptId,
        val spec: JobSpec,
    ) : AgentEffect

    /** Throttle, checkpoint or kill [attempt] according to [mode]; report its end when it ends. */
    data class Stop(
        val attempt: AttemptId,
        val mode: StopMode,
    ) : AgentEffect

    /** Kill [attempt] at once because the lease has expired; its end is already reported. */
    data class Terminate(
        val attempt: AttemptId,
    ) : AgentEffect

    /** The connection timed out or the host is not the leader; connect to one of [addresses], or to any known host if empty. */
    data class Reconnect(
        val addresses: List<String>,
    ) : AgentEffect
}

/**
 * Executor side of the protocol as a pure state machine, to be embedded in a worker or an endpoint.
 *
 * It runs attempts only while its lease is valid by its own clock, starts each attempt at most once, keeps the report of
 * each end until it is recorded, and refuses starts that are late, of an old session or from a replaced leader.
 */
class ExecutorAgent(
    private val info: ExecutorInfo,
    private val heartbeatMillis: Long = 1_000,
    private val startMaxAgeMillis: Long = 2_000,
    private val silenceMillis: Long = 2_500,
) {
    private val attempts = LinkedHashMap<AttemptId, AttemptReport>()

    /** Time at which the end of an attempt was recorded, kept for as long as a duplicate start could still be accepted. */
    private val recordedAt = LinkedHashMap<AttemptId, Long>()
    private val effects = ArrayList<AgentEffect>()
    private var session = 0L
    private var term = 0L
    private var leaseExpiresAt = Long.MIN_VALUE
    private var connected = false
    private var lastReceivedAt = 0L
    private var nextHeartbeat = 0L
    private var now = 0L

    /** Whether the executor has announced that it accepts no new work. */
    var isLeaving = false
        private set

    /** Attempts that are currently running. */
    val running: List<AttemptId> get() = attempts.values.filter { it.state == AttemptState.RUNNING }.map { it.attempt }

    /** Whether nothing runs and every end is recorded. */
    val isIdle: Boolean get() = attempts.isEmpty()

    private fun advance(
        nowMillis: Long,
        action: () -> Unit,
    ): List<AgentEffect> {
        now = maxOf(now, nowMillis)
        checkLease()
        action()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    /** Handles a newly opened connection. */
    fun connected(nowMillis: Long): List<AgentEffect> =
        advance(nowMillis) {
            connected = true
            lastReceivedAt = now
            nextHeartbeat = now + heartbeatMillis
            session++
            send(FromExecutor.Hello(info.copy(session = session), attempts.values.toList(), now))
            if (isLeaving) send(FromExecutor.Leaving)
        }

    /** Handles the loss of the connection. */
    fun disconnected(nowMillis: Long): List<AgentEffect> = advance(nowMillis) { connected = false }

    fun tick(nowMillis: Long): List<AgentEffect> =
        advance(nowMillis) {
            if (!connected) return@advance
            if (now - lastReceivedAt > silenceMillis) {
                connected = false
                effects += AgentEffect.Reconnect(emptyList())
            } else if (now >= nextHeartbeat) {
                nextHeartbeat = now + heartbeatMillis
                send(FromExecutor.Heartbeat(now))
                attempts.values.filter { it.state != AttemptState.RUNNING }.forEach { send(FromExecutor.Ended(it)) }
            }
        }

    fun received(
        frame: ToExecutor,
        nowMillis: Long,
    ): List<AgentEffect> =
        advance(nowMillis) {
            lastReceivedAt = now
            when (frame) {
                is ToExecutor.Lease -> renewLease(frame)
                is ToExecutor.Start -> start(frame)
                is ToExecutor.Stop -> if (isRunning(frame.attempt)) effects += AgentEffect.Stop(frame.attempt, frame.mode)
                is ToExecutor.EndRecorded -> endRecorded(frame.attempt)
                is ToExecutor.Redirect -> {
                    connected = false
                    effects += AgentEffect.Reconnect(frame.addresses)
                }
            }
        }

    private fun endRecorded(attempt: AttemptId) {
        if (isRunning(attempt) || attempts.remove(attempt) == null) return
        recordedAt[attempt] = now
        recordedAt.values.removeIf { now - it > 2 * startMaxAgeMillis }
    }

    private fun renewLease(frame: ToExecutor.Lease) {
        if (frame.term < term) return
        term = frame.term
        leaseExpiresAt = maxOf(leaseExpiresAt, frame.clockMillis + frame.leaseMillis)
    }

    private fun start(frame: ToExecutor.Start) {
        if (frame.attempt in attempts || frame.attempt in recordedAt) return
        val stale = frame.session != session || frame.term < term || now - frame.clockMillis > startMaxAgeMillis
        if (stale || now >= leaseExpiresAt || isLeaving) {
            record(
                AttemptReport(frame.attempt, AttemptState.NOT_STARTED, "the start came too late"),
            )
            return
        }
        term = frame.term
        attempts[frame.attempt] = AttemptReport(frame.attempt, AttemptState.RUNNING)
        effects += AgentEffect.Run(frame.attempt, frame.spec)
    }

    private fun isRunning(attempt: AttemptId): Boolean = attempts[attempt]?.state == AttemptState.RUNNING

    /** Reports the end of an attempt; ignored if the attempt is not running, such as after its lease expired. */
    fun ended(
        report: AttemptReport,
        nowMillis: Long,
    ): List<AgentEffect> = advance(nowMillis) { if (isRunning(report.attempt)) record(report) }

    /** Stops accepting new work; running attempts may finish. */
    fun leave(nowMillis: Long): List<AgentEffect> =
        advance(nowMillis) {
            isLeaving = true
            send(FromExecutor.Leaving)
        }

    private fun record(report: AttemptReport) {
        attempts[report.attempt] = report
        send(FromExecutor.Ended(report))
    }

    private fun checkLease() {
        if (now < leaseExpiresAt) return
        running.forEach { attempt ->
            effects += AgentEffect.Terminate(attempt)
            record(AttemptReport(attempt, AttemptState.KILLED, "the lease ran out"))
        }
    }

    private fun send(frame: FromExecutor) {
        if (connected) effects += AgentEffect.Send(frame)
    }
}
