package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** Connected peers of a control node, and the last status received from the control nodes among them. */
internal class ControlPeers(
    private val self: NodeIdentity,
    private val seeds: Set<String>,
) {
    private val connected = LinkedHashMap<String, NodeIdentity>()
    private val statuses = HashMap<String, ReceivedStatus>()
    private var targets = emptySet<String>()

    /** Addresses of all connected peers. */
    val addresses: Set<String> get() = connected.keys

    /** Addresses of the connected control nodes. */
    fun controlAddresses(): List<String> = connected.values.filter { it.replica.isNotEmpty() }.map { it.address }

    /** Replicas of the connected control nodes. */
    fun replicas(): List<ConnectedReplica> =
        connected.values.filter { it.replica.isNotEmpty() }.map {
            ConnectedReplica(ReplicaId(it.replica), it.zone, leaving = statuses[it.address]?.status?.leaving == true)
        }

    fun peerConnected(peer: NodeIdentity) {
        connected[peer.address] = peer
    }

    /** Removes the peer at [address], whose last connection was closed, and returns it. */
    fun peerDisconnected(address: String): NodeIdentity? {
        statuses.remove(address)
        return connected.remove(address)
    }

    fun statusReceived(
        from: String,
        status: NodeFrame.Status,
        now: Long,
    ) {
        statuses[from] = ReceivedStatus(status, now)
    }

    fun removeStaleStatuses(now: Long) {
        statuses.values.removeIf { now - it.receivedAt > STATUS_RETENTION_MILLIS }
    }

    /** Address of the other control node that reports itself as serving in the newest term; null when there is none. */
    fun leader(now: Long): String? =
        statuses.entries
            .filter { it.value.status.serving && now - it.value.receivedAt < LEADER_TIMEOUT_MILLIS }
            .maxByOrNull { it.value.status.term }
            ?.key

    /** Addresses of all control nodes known to this one, including itself. */
    fun knownControls(members: Members): List<String> =
        (members.all.map { MembershipManager.addressOf(it) } + controlAddresses() + self.address).toSortedSet().toList()

    /** Control nodes to stay connected to; null when they are the same as at the last call. */
    fun newTargets(members: Members): Set<String>? {
        val next =
            seeds + members.all.map { MembershipManager.addressOf(it) } + statuses.values.flatMap { it.status.controls } - self.address
        if (next == targets) return null
        targets = next
        return next
    }

    private class ReceivedStatus(
        val status: NodeFrame.Status,
        val receivedAt: Long,
    )

    private companion object {
        /** Age at which the last status of a leader no longer counts. */
        const val LEADER_TIMEOUT_MILLIS = 1_600L
        const val STATUS_RETENTION_MILLIS = 10_000L
    }
}
