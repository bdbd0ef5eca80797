package rhubarbknot.flow.node

import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RequestLimits
import rhubarbknot.quorum.ReplicaEffect

/** One process of the system as a pure state machine: events with the time in, effects out. */
interface FlowNode {
    /** Handles [events] at [now], milliseconds of a clock that never goes back, and returns what must be done, in order. */
    fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect>

    /** What the process can say of itself now. */
    fun health(now: Long): NodeHealth
}

/**
 * @property ready whether callers are served here.
 * @property limits bounds on callers' requests, by the newest configuration heard of.
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

    /** A connection to [peer] is open; it may be one of several. */
    data class LinkUp(
        val peer: NodeIdentity,
    ) : NodeEvent

    /** The last connection to the peer at [address] is closed. */
    data class LinkDown(
        val address: String,
    ) : NodeEvent

    data class FrameReceived(
        val from: NodeIdentity,
        val frame: NodeFrame,
    ) : NodeEvent

    /** Someone outside asks; [number] is this process's own. */
    data class RequestReceived(
        val number: Long,
        val request: FlowRequest,
    ) : NodeEvent

    data class Persisted(
        val sequence: Long,
    ) : NodeEvent

    data class WorkerReplied(
        val call: WorkerCall,
        val reply: WorkerReply,
        val sentAt: Long,
    ) : NodeEvent

    /** The eligibility service answered a question that [askedBy] had put through this process. */
    data class EligibilityReplied(
        val askedBy: String,
        val reply: EligibilityReply,
    ) : NodeEvent

    data object Shutdown : NodeEvent
}

/** Output of a [FlowNode]. */
sealed interface NodeEffect {
    data class Send(
        val to: String,
        val frame: NodeFrame,
    ) : NodeEffect

    /** Keep a connection to each of these peers, and to no others. */
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

    /** Everything that was under way is finished: the process may end. */
    data object ShutdownComplete : NodeEffect
}
