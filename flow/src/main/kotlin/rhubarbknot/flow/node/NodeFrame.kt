package rhubarbknot.flow.node

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.RequestLimits
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.quorum.ReplicaMessage

/**
 * Identity of a process.
 *
 * @property address IP address and port to which its peers connect.
 * @property replica id of its replica; empty on a gateway.
 * @property incarnation number drawn at the start of the process. It tells the process from earlier ones at its address, whose
 * requests have the same numbers.
 */
@Serializable
data class NodeIdentity(
    val address: String,
    val zone: String,
    val replica: String = "",
    val incarnation: Long = 0,
)

/** Message between two processes of the system. */
@Serializable
sealed interface NodeFrame {
    /** First frame sent by either side; sent as a keepalive afterwards. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val from: NodeIdentity,
    ) : NodeFrame

    /**
     * State of a control node as it sees the cluster, broadcast periodically.
     *
     * @property controls addresses of all known control nodes.
     * @property leader address of the leader; null when no leader is known.
     * @property configurationVersion version of the configuration that [limits] are from.
     * @property serving whether the sender is the leader and holds a valid lease.
     * @property leaving whether the sender is shutting down and waits for another replica to become a voter in its place.
     * @property lostPeers how long ago the sender lost each process that has not come back to it, in milliseconds by address, for the
     * other control nodes to dial as well.
     */
    @Serializable
    @SerialName("status")
    data class Status(
        val controls: List<String>,
        val leader: String?,
        val term: Long,
        val serving: Boolean,
        val limits: RequestLimits? = null,
        val configurationVersion: Long = 0,
        val leaving: Boolean = false,
        val lostPeers: Map<String, Long> = emptyMap(),
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

    /**
     * Answer to an [Ask].
     *
     * @property incarnation process that asked; null from a node that does not know incarnations yet.
     */
    @Serializable
    @SerialName("answer")
    data class Answer(
        val number: Long,
        val answer: FlowAnswer,
        val incarnation: Long? = null,
    ) : NodeFrame {
        /** Whether this answers a request of the process [self], not of an earlier one at its address. */
        fun isFor(self: NodeIdentity): Boolean = incarnation == null || incarnation == self.incarnation
    }

    /** Relays a worker's report, so that every control node already knows the workers when it becomes leader. */
    @Serializable
    @SerialName("reported")
    data class WorkerReported(
        val report: WorkerReport,
    ) : NodeFrame

    /** The leader asks another process to query the eligibility service. */
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
