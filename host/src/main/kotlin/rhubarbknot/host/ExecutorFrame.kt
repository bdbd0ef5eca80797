package rhubarbknot.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources

/** Frames from a worker or an endpoint to its entry host. This protocol is public; see docs/EXECUTOR-PROTOCOL.md. */
@Serializable
sealed interface FromExecutor {
    /** Opens a session on a new connection and lists all attempts that run or whose end was not acknowledged. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val info: ExecutorInfo,
        val known: List<AttemptReport>,
        val clockMillis: Long,
    ) : FromExecutor

    /** Renews the executor's lease; [clockMillis] is read from the executor's monotonic clock. */
    @Serializable
    @SerialName("heartbeat")
    data class Heartbeat(
        val clockMillis: Long,
        val usage: List<UsageReport> = emptyList(),
    ) : FromExecutor

    @Serializable
    @SerialName("ended")
    data class Ended(
        val report: AttemptReport,
    ) : FromExecutor

    /** The executor is draining and accepts no new work. */
    @Serializable
    @SerialName("leaving")
    data object Leaving : FromExecutor
}

/** Current resource usage of an attempt. */
@Serializable
data class UsageReport(
    val attempt: AttemptId,
    val used: Resources,
)

/** Frames from an entry host to an executor. */
@Serializable
sealed interface ToExecutor {
    /** This host does not lead the zone; the executor should connect to one of [addresses]. */
    @Serializable
    @SerialName("redirect")
    data class Redirect(
        val addresses: List<String>,
    ) : ToExecutor

    /**
     * Allows the executor to run attempts until [leaseMillis] after [clockMillis], a reading of its own clock.
     *
     * @property term term of the granting leader; the executor ignores leases of an older term.
     */
    @Serializable
    @SerialName("lease")
    data class Lease(
        val clockMillis: Long,
        val leaseMillis: Long,
        val term: Long,
    ) : ToExecutor

    /**
     * Starts an attempt; ignored if the executor already knows the attempt.
     *
     * @property session session of the executor that the start belongs to; a start of an older session is refused.
     * @property clockMillis latest reading of the executor's clock known to the sender. A start with too old a reading
     * is refused, so that a start sent late by a paused host has no effect.
     */
    @Serializable
    @SerialName("start")
    data class Start(
        val attempt: AttemptId,
        val spec: JobSpec,
        val session: Long,
        val term: Long,
        val clockMillis: Long,
    ) : ToExecutor

    @Serializable
    @SerialName("stop")
    data class Stop(
        val attempt: AttemptId,
        val mode: StopMode,
    ) : ToExecutor

    /** The end of [attempt] is durably recorded; the executor may discard its report. */
    @Serializable
    @SerialName("endRecorded")
    data class EndRecorded(
        val attempt: AttemptId,
    ) : ToExecutor
}
