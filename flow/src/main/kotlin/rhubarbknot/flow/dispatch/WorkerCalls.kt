package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerIncarnation

/** A call to a worker. Every call carries the leader's term as fencing token. */
sealed interface WorkerCall {
    val worker: WorkerIncarnation
    val address: String
    val fencingToken: Long

    /** Asks to start [run], or to say that it is there already. [deadlineMillis] is on the worker's clock. */
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

    /** Asks to stop [run], and never to start it. */
    data class Stop(
        override val worker: WorkerIncarnation,
        override val address: String,
        override val fencingToken: Long,
        val run: RunId,
    ) : WorkerCall

    /**
     * Renews the lease of everything that runs there, acknowledges ends up to [lastSeen] and asks for what runs and
     * what ended.
     *
     * @property deadlineMillis on the worker's clock; null to leave the lease as it is.
     * @property waitMillis how long to wait there for an end.
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

/** What came of a [WorkerCall]. */
sealed interface WorkerReply {
    /** The worker did as it was told. [clockMillis] is its own reading. */
    data class Done(
        val clockMillis: Long?,
    ) : WorkerReply

    /** The worker refused, for [reason], and did nothing. */
    data class Refused(
        val reason: RefusalReason,
        val clockMillis: Long?,
    ) : WorkerReply

    /** Answer to a renewal. */
    data class Runs(
        val born: Long?,
        val clockMillis: Long,
        val running: List<RunningRun>,
        val ended: List<NumberedRunEnd>,
    ) : WorkerReply

    /** No connection could be had, so nothing was sent. */
    data object NotSent : WorkerReply

    /** Nothing came back: the call may have been carried out, or may be later. */
    data object NoResponse : WorkerReply
}

/** Why a worker refused. */
enum class RefusalReason {
    /** It has seen a higher fencing token. */
    FENCED,

    /** A run as high as this one was stopped or has ended there. */
    OLD_RUN,

    /** The deadline was over on its clock. */
    LATE,
    NO_ROOM,
    TICKET,

    /** Another life is at that address. */
    OTHER_LIFE,
    UNHEALTHY,
    MALFORMED,
}

/**
 * A run that a worker has at work.
 *
 * @property percent how much of it is done.
 */
data class RunningRun(
    val run: RunId,
    val checkpoint: String,
    val percent: Int = 0,
)

/** An end with its number in the worker's list. */
data class NumberedRunEnd(
    val number: Long,
    val end: RunEnd,
)
