package rhubarbknot.host

import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId

/** Origin of a request: the entry host that received it and its id there. */
internal data class RequestOrigin(
    val host: HostId,
    val id: RequestId,
    val deadline: Long = Long.MAX_VALUE,
)

/** Services that an entry host provides to its components. */
internal interface HostContext {
    val config: HostConfig
    val now: Long

    fun group(id: GroupId): Group

    fun groupOrNull(id: GroupId): Group?

    fun send(
        to: HostId,
        frame: PeerFrame,
    )

    /** Sends [frame] to every other host. */
    fun broadcast(frame: PeerFrame)

    /** Sends [frame] to the leader of [zone], or to one of its hosts if the leader is unknown. */
    fun sendToZone(
        zone: ZoneId,
        frame: PeerFrame,
    )

    fun respond(
        origin: RequestOrigin,
        response: ApiResponse,
    )

    fun emit(effect: HostEffect)
}
