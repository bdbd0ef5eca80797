package rhubarbknot.flow.node

import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RequestLimits
import rhubarbknot.quorum.ReplicaEffect

/** A process of the system as a pure state machine: takes events and the current time, returns effects. */
interface FlowNode {
    /** Handles [events] at [now], in milliseconds of a monotonic clock, and returns the effects to execute, in order. */
    fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect>

    /** Time until the next [NodeEvent.Tick] that the node needs, in milliseconds. */
    val tickMillis: Long get() = DEFAULT_TICK_MILLIS

    /** Current health of the process. */
    fun health(now: Long): NodeHealth

    companion object {
        /** Tick of a node that has timers to watch, in milliseconds; no timer is later than this. */
        const val DEFAULT_TICK_MILLIS = 50L
    }
}

/**
 * @property ready whether this process serves callers.
 * @property limits limits on callers' requests from the newest known configuration.
 */
data class NodeHealth(
    val ready: Boolean,
    val leader: String?,
    val term: Long,
    val openRequests: Int,
    val limits: RequestLimits?,
    val gauges: Map<String, Long> = emptyMap(),
)

/** Input of a [FlowNode]. */
sealed interface NodeEvent {
    data object Tick : NodeEvent

    /** A connection to [peer] was opened; there may be several to the same peer. */
    data class LinkUp(
        val peer: NodeIdentity,
    ) : NodeEvent

    /** The last connection to the peer at [address] was closed. */
    data class LinkDown(
        val address: String,
    ) : NodeEvent

    data class FrameReceived(
        val from: NodeIdentity,
        val frame: NodeFrame,
    ) : NodeEvent

    /** A request from outside the system; [number] is assigned by this process. */
    data class RequestReceived(
        val number: Long,
        val request: FlowRequest,
    ) : NodeEvent

    data class Persisted(
        val sequence: Long,
    ) : NodeEvent

    /**
     * The wall clock has moved by [millis] against the monotonic clock since the events before: it was set, or the host was suspended
     * for a time that the monotonic clock did not count.
     */
    data class ClockStepped(
        val millis: Long,
    ) : NodeEvent

    data class WorkerReplied(
        val call: WorkerCall,
        val reply: WorkerReply,
        val sentAt: Long,
    ) : NodeEvent

    /** The eligibility service answered a request that this process made on behalf of [askedBy]. */
    data class EligibilityReplied(
        val askedBy: String,
        val reply: EligibilityReply,
    ) : NodeEvent

    /** The settings name other addresses of control nodes than before. */
    data class SeedsChanged(
        val seeds: Set<String>,
    ) : NodeEvent

    data object Shutdown : NodeEvent
}

/** Output of a [FlowNode]. */
sealed interface NodeEffect {
    data class Send(
        val to: String,
        val frame: NodeFrame,
    ) : NodeEffect

    /** Keep a connection to each of these peers and close all others. */
    data class Connect(
        val addresses: Set<String>,
    ) : NodeEffect

    data class Persist(
        val batch: ReplicaEffect.Persist,
    ) : NodeEffect

    data class Reply(
        val number: Long,
        val answer: FlowAnswer,
    ) : NodeEffect

    data class CallWorker(
        val call: WorkerCall,
        val timeoutMillis: Long,
    ) : NodeEffect

    data class AskEligibility(
        val askedBy: String,
        val number: Long,
        val step: String,
        val workers: List<String>,
        val timeoutMillis: Long,
    ) : NodeEffect

    data class LogEvent(
        val entry: EventLogEntry,
    ) : NodeEffect

    /** Read the seeds from the settings again: the file may have changed without a signal. */
    data object ReadSeeds : NodeEffect

    /** Pending work is complete or the shutdown timed out: the process may exit. */
    data object ShutdownComplete : NodeEffect
}
