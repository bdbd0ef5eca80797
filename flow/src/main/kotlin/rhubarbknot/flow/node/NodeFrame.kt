package rhubarbknot.flow.node

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.RequestLimits
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.quorum.ReplicaMessage

/**
 * Who a process is.
 *
 * @property address where its peers connect to, an IP number with a port.
 * @property replica name of its replica; empty on a gateway.
 */
@Serializable
data class NodeIdentity(
    val address: String,
    val zone: String,
    val replica: String = "",
)

/** A message between two processes of the system. */
@Serializable
sealed interface NodeFrame {
    /** First frame of either side, and the sign of life after it. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val from: NodeIdentity,
    ) : NodeFrame

    /**
     * What a control node knows, sent again and again.
     *
     * @property controls addresses of the control nodes.
     * @property leader address of the leader; null while none is known.
     * @property serving whether the sender leads and is sure of its state.
     */
    @Serializable
    @SerialName("status")
    data class Status(
        val controls: List<String>,
        val leader: String?,
        val term: Long,
        val serving: Boolean,
        val limits: RequestLimits? = null,
    ) : NodeFrame

    @Serializable
    @SerialName("replica")
    data class Replica(
        val from: String,
        val to: String,
        val message: ReplicaMessage,
    ) : NodeFrame

    @Serializable
    @SerialName("ask")
    data class Ask(
        val number: Long,
        val request: FlowRequest,
    ) : NodeFrame

    @Serializable
    @SerialName("answer")
    data class Answer(
        val number: Long,
        val answer: FlowAnswer,
    ) : NodeFrame

    /** A worker's report, so that every control node knows the workers before it has to lead. */
    @Serializable
    @SerialName("reported")
    data class WorkerReported(
        val report: WorkerReport,
    ) : NodeFrame

    /** The leader asks another process to put a question to the eligibility service. */
    @Serializable
    @SerialName("askEligibility")
    data class AskEligibility(
        val number: Long,
        val step: String,
        val workers: List<String>,
        val timeoutMillis: Long,
    ) : NodeFrame

    @Serializable
    @SerialName("eligibility")
    data class EligibilityAnswer(
        val number: Long,
        val tickets: Map<String, String>?,
    ) : NodeFrame
}
