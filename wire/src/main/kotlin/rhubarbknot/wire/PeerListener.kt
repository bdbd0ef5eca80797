package rhubarbknot.wire

import rhubarbknot.host.HostId
import rhubarbknot.host.PeerFrame

/** Receives the frames and connection events of a [PeerTransport]. */
interface PeerListener {
    fun received(
        from: HostId,
        frame: PeerFrame,
    )

    /**
     * Called when the handshake on a connection to [to] succeeds. [count] is the number of TCP connections to this peer
     * so far, including those whose handshake failed.
     */
    fun connected(
        to: HostId,
        count: Int,
    ) = Unit

    /** Called when a connection is refused because of a wrong cluster, host, first frame or secret. */
    fun refused(
        who: String,
        why: String,
    ) = Unit
}
