package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerIncarnation

/** A call to a worker, with a [FencingToken] of the leader and of the incarnation that is called. */
sealed interface WorkerCall {
    val worker: WorkerIncarnation
    val address: String
    val fencingToken: Long

    /** Starts [run], or confirms it if it is already running. [deadlineMillis] is on the worker's clock. */
    data class Start(
        override val worker: WorkerIncarnation,
        override val address: String,
        override val fencingToken: Long,
        val run: RunId,
        val payload: String,
        val deadlineMillis: Long,
        val checkpoint: String,
        val ticket: String,
    ) : WorkerCall

    /** Stops [run] and prevents any later start of it. */
    data class Stop(
        override val worker: WorkerIncarnation,
        override val address: String,
        override val fencingToken: Long,
        val run: RunId,
    ) : WorkerCall

    /**
     * Renews the lease of all runs on the worker, acknowledges ends up to [lastSeen] and requests the lists of active and
     * ended runs.
     *
     * @property deadlineMillis new lease deadline on the worker's clock; null to leave the lease unchanged.
     * @property waitMillis how long the worker may wait for a run to end before it responds.
     */
    data class Renew(
        override val worker: WorkerIncarnation,
        override val address: String,
        override val fencingToken: Long,
        val lastSeen: Long,
        val deadlineMillis: Long?,
        val waitMillis: Long,
    ) : WorkerCall
}

/** Outcome of a [WorkerCall]. */
sealed interface WorkerReply {
    /** The worker executed the call. [clockMillis] is the reading of its clock. */
    data class Done(
        val clockMillis: Long?,
    ) : WorkerReply

    /** The worker refused the call for [reason] and did nothing. */
    data class Refused(
        val reason: RefusalReason,
        val clockMillis: Long?,
    ) : WorkerReply

    /** Response to a renewal. */
    data class Runs(
        val born: Long?,
        val clockMillis: Long,
        val running: List<RunningRun>,
        val ended: List<NumberedRunEnd>,
    ) : WorkerReply

    /** The connection failed, so nothing was sent. */
    data object NotSent : WorkerReply

    /** The connection was refused, so nothing was sent. A network partition may refuse connections to a living worker. */
    data object ConnectionRefused : WorkerReply

    /** No response arrived; the call may have been executed or may be executed later. */
    data object NoResponse : WorkerReply
}

/** Why a worker refused a call. */
enum class RefusalReason {
    /** The worker has seen a higher fencing token. */
    FENCED,

    /** A run with this number or a higher one was stopped or has ended on the worker. */
    OLD_RUN,

    /** The deadline has passed on the worker's clock. */
    LATE,
    NO_ROOM,
    TICKET,

    /** Another incarnation of a worker answers at the address. */
    OTHER_LIFE,
    UNHEALTHY,
    MALFORMED,
}

/**
 * A run that is active on a worker.
 *
 * @property percent progress of the run.
 */
data class RunningRun(
    val run: RunId,
    val checkpoint: String,
    val percent: Int = 0,
)

/** The end of a run with its sequence number on the worker. */
data class NumberedRunEnd(
    val number: Long,
    val end: RunEnd,
)
