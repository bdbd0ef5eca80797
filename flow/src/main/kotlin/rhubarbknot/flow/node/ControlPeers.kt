package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** Peers of a control node: those that are connected, the last status of the control nodes among them, and those that were lost. */
internal class ControlPeers(
    private val self: NodeIdentity,
    seeds: Set<String>,
) {
    private val directory = ControlDirectory(seeds)
    private val lostPeers = LostPeers()
    private val connected = LinkedHashMap<String, NodeIdentity>()
    private val statuses = HashMap<String, ReceivedStatus>()
    private var targets = emptySet<String>()
    private var lastMemberAddresses = emptyList<String>()

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
        lostPeers.remove(peer.address)
    }

    /** Removes the peer at [address], whose last connection was closed, and returns it. */
    fun peerDisconnected(
        address: String,
        now: Long,
    ): NodeIdentity? {
        removeStatus(address)
        return connected.remove(address)?.also { lostPeers.add(address, now) }
    }

    private fun removeStatus(sender: String) {
        statuses.remove(sender)
        directory.statusExpired(sender)
    }

    fun statusReceived(
        from: String,
        status: NodeFrame.Status,
        now: Long,
    ) {
        statuses[from] = ReceivedStatus(status, now)
        directory.statusReceived(from, status.controls)
        status.lostPeers.filterKeys { it !in connected && it != self.address }.forEach { (address, age) ->
            lostPeers.add(address, now, age)
        }
    }

    /** Takes other addresses from the settings; returns what to log of it. */
    fun updateSeeds(seeds: Set<String>): List<NodeEffect> = directory.updateSeeds(seeds, self.address)

    fun removeStale(now: Long) {
        statuses.filterValues { now - it.receivedAt > STATUS_RETENTION_MILLIS }.keys.forEach { removeStatus(it) }
        lostPeers.removeStale(now)
    }

    /** How long ago, in milliseconds, each peer was lost that has not come back, by its address. */
    fun lostPeers(now: Long): Map<String, Long> = lostPeers.ages(now)

    /** Address of the other control node that reports itself as serving in the newest term; null when there is none. */
    fun leader(now: Long): String? =
        statuses.entries
            .filter { it.value.status.serving && now - it.value.receivedAt < LEADER_TIMEOUT_MILLIS }
            .maxByOrNull { it.value.status.term }
            ?.key

    /** Addresses of all control nodes known to this one, including itself. */
    fun knownControls(members: Members): List<String> =
        (members.all.map { MembershipManager.addressOf(it) } + controlAddresses() + self.address).toSortedSet().toList()

    /** Peers to stay connected to, given whether there is a leader; null when they are the same as at the last call. */
    fun newTargets(
        members: Members,
        hasLeader: Boolean,
        now: Long,
    ): Set<String>? {
        val memberAddresses = members.all.map { MembershipManager.addressOf(it) }
        if (memberAddresses != lastMemberAddresses) directory.remember(memberAddresses)
        lastMemberAddresses = memberAddresses
        // A lost peer that was dialled and is back stays a target: the connection would be closed otherwise.
        val regained = targets.filter { it in connected }
        val next = directory.targets(hasLeader) + memberAddresses + lostPeers.due(now) + regained - self.address
        if (next == targets) return null
        targets = next
        return next
    }

    /** Where each of the dialled addresses is known from, for the event log. */
    fun describeTargets(): String = directory.describe(targets) { if (it in lastMemberAddresses) "member" else "lost" }

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
