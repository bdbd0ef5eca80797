package rhubarbknot.host

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec

/** What a worker or an endpoint has to do. */
sealed interface AgentEffect {
    /** Send [frame] over the present connection. */
    data class Send(
        val frame: FromExecutor,
    ) : AgentEffect

    /** Begin to run [attempt], and report its end with [ExecutorAgent.ended]. */
    data class Run(
        val attempt: AttemptId,
        val spec: JobSpec,
    ) : AgentEffect

    /** Make [attempt] use less, save its progress and end, or end at once; then report its end. */
    data class Stop(
        val attempt: AttemptId,
        val mode: StopMode,
    ) : AgentEffect

    /** End [attempt] at once: the lease is over, and its end is reported already. */
    data class Terminate(
        val attempt: AttemptId,
    ) : AgentEffect

    /** The connection is silent or the host does not lead: connect to one of [addresses], or to any known host. */
    data class Reconnect(
        val addresses: List<String>,
    ) : AgentEffect
}

/**
 * The executor's side of its protocol as a pure state machine, to be embedded in a worker or an endpoint.
 *
 * It runs nothing without a lease by its own clock, starts each attempt at most once, keeps every end until it is
 * recorded, and refuses starts that are late, of an old session or of a leader that was replaced.
 */
class ExecutorAgent(
    private val info: ExecutorInfo,
    private val heartbeatMillis: Long = 1_000,
    private val startMaxAgeMillis: Long = 2_000,
    private val silenceMillis: Long = 2_500,
) {
    private val attempts = LinkedHashMap<AttemptId, AttemptReport>()

    /** Attempts whose end was recorded, with the time, for as long as a doubled start of them could still be accepted. */
    private val recorded = LinkedHashMap<AttemptId, Long>()
    private val effects = ArrayList<AgentEffect>()
    private var session = 0L
    private var term = 0L
    private var leaseUntil = Long.MIN_VALUE
    private var connected = false
    private var heardAt = 0L
    private var nextHeartbeat = 0L
    private var now = 0L

    /** Whether the executor said that it takes no new work. */
    var isLeaving = false
        private set

    /** Attempts that run at present. */
    val running: List<AttemptId> get() = attempts.values.filter { it.state == AttemptState.RUNNING }.map { it.attempt }

    /** Whether nothing runs and every end is recorded. */
    val isIdle: Boolean get() = attempts.isEmpty()

    private fun at(
        nowMillis: Long,
        step: () -> Unit,
    ): List<AgentEffect> {
        now = maxOf(now, nowMillis)
        checkLease()
        step()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    /** A new connection is open. */
    fun connected(nowMillis: Long): List<AgentEffect> =
        at(nowMillis) {
            connected = true
            heardAt = now
            nextHeartbeat = now + heartbeatMillis
            session++
            send(FromExecutor.Hello(info.copy(session = session), attempts.values.toList(), now))
            if (isLeaving) send(FromExecutor.Leaving)
        }

    /** The connection is closed. */
    fun disconnected(nowMillis: Long): List<AgentEffect> = at(nowMillis) { connected = false }

    fun tick(nowMillis: Long): List<AgentEffect> =
        at(nowMillis) {
            if (!connected) return@at
            if (now - heardAt > silenceMillis) {
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
        at(nowMillis) {
            heardAt = now
            when (frame) {
                is ToExecutor.Lease -> lease(frame)
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
        recorded[attempt] = now
        recorded.values.removeIf { now - it > 2 * startMaxAgeMillis }
    }

    private fun lease(frame: ToExecutor.Lease) {
        if (frame.term < term) return
        term = frame.term
        leaseUntil = maxOf(leaseUntil, frame.clockMillis + frame.leaseMillis)
    }

    private fun start(frame: ToExecutor.Start) {
        if (frame.attempt in attempts || frame.attempt in recorded) return
        val stale = frame.session != session || frame.term < term || now - frame.clockMillis > startMaxAgeMillis
        if (stale || now >= leaseUntil || isLeaving) {
            record(AttemptReport(frame.attempt, AttemptState.NOT_STARTED, "the start came too late"))
            return
        }
        term = frame.term
        attempts[frame.attempt] = AttemptReport(frame.attempt, AttemptState.RUNNING)
        effects += AgentEffect.Run(frame.attempt, frame.spec)
    }

    private fun isRunning(attempt: AttemptId): Boolean = attempts[attempt]?.state == AttemptState.RUNNING

    /** [report] tells how an attempt ended. Ignored for one that was abandoned before. */
    fun ended(
        report: AttemptReport,
        nowMillis: Long,
    ): List<AgentEffect> = at(nowMillis) { if (isRunning(report.attempt)) record(report) }

    /** Takes no new work from now on; what runs may finish. */
    fun leave(nowMillis: Long): List<AgentEffect> =
        at(nowMillis) {
            isLeaving = true
            send(FromExecutor.Leaving)
        }

    private fun record(report: AttemptReport) {
        attempts[report.attempt] = report
        send(FromExecutor.Ended(report))
    }

    private fun checkLease() {
        if (now < leaseUntil) return
        running.forEach { attempt ->
            effects += AgentEffect.Terminate(attempt)
            record(AttemptReport(attempt, AttemptState.KILLED, "the lease ran out"))
        }
    }

    private fun send(frame: FromExecutor) {
        if (connected) effects += AgentEffect.Send(frame)
    }
}
