package rhubarbknot.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.core.cell.JobTransfer
import rhubarbknot.core.cell.TeamLoad
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ZoneOffer
import rhubarbknot.quorum.ReplicaMessage

/** Frames between entry hosts. Any frame may be lost, delayed, duplicated or reordered. */
@Serializable
sealed interface PeerFrame {
    /** Carries a message between replicas of [group]. */
    @Serializable
    @SerialName("replica")
    data class Replica(
        val group: GroupId,
        val message: ReplicaMessage,
    ) : PeerFrame

    /** Forwards a request to the responsible group; the response is sent directly to [origin]. */
    @Serializable
    @SerialName("forward")
    data class Forward(
        val origin: HostId,
        val id: RequestId,
        val group: GroupId,
        val request: ApiRequest,
        val hops: Int = 0,
    ) : PeerFrame

    @Serializable
    @SerialName("forwardReply")
    data class ForwardReply(
        val id: RequestId,
        val response: ApiResponse,
    ) : PeerFrame

    /**
     * Request of a cell leader to the registry to renew its zone lease.
     *
     * @property sentAtMillis time of sending by the sender's clock; echoed in the grant, and the lease starts from it.
     * @property version registry version in force in the zone.
     */
    @Serializable
    @SerialName("leaseRenewal")
    data class LeaseRenewal(
        val zone: ZoneId,
        val sentAtMillis: Long,
        val version: Long,
        val loads: List<TeamLoad>,
        val offer: ZoneOffer,
    ) : PeerFrame

    @Serializable
    @SerialName("leaseGrant")
    data class LeaseGrant(
        val zone: ZoneId,
        val sentAtMillis: Long,
        val leaseMillis: Long,
    ) : PeerFrame

    /** Announces that the sender leads [group]. */
    @Serializable
    @SerialName("leading")
    data class Leading(
        val group: GroupId,
        val term: Long,
    ) : PeerFrame

    /** Offers to move a job to another zone. */
    @Serializable
    @SerialName("moveOffer")
    data class MoveOffer(
        val transfer: JobTransfer,
        val from: ZoneId,
        val to: ZoneId,
        val hops: Int = 0,
    ) : PeerFrame

    /** [zone] has durably stored [job]; [up] is true once all of its tasks have started there. */
    @Serializable
    @SerialName("moveAccepted")
    data class MoveAccepted(
        val job: JobId,
        val zone: ZoneId,
        val from: ZoneId,
        val up: Boolean,
        val hops: Int = 0,
    ) : PeerFrame
}
