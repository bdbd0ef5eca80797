package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** The processes that a control node has connections to, and what the control nodes among them last said. */
internal class ControlPeers(
    private val self: NodeIdentity,
    private val seeds: Set<String>,
) {
    private val connected = LinkedHashMap<String, NodeIdentity>()
    private val statuses = HashMap<String, Heard>()
    private var wanted = emptySet<String>()

    /** Addresses of all processes that are connected. */
    val addresses: Set<String> get() = connected.keys

    /** Addresses of the control nodes among them. */
    fun controls(): List<String> = connected.values.filter { it.replica.isNotEmpty() }.map { it.address }

    /** The replicas of the control nodes among them. */
    fun replicas(): List<ConnectedReplica> =
        connected.values.filter { it.replica.isNotEmpty() }.map { ConnectedReplica(ReplicaId(it.replica), it.zone) }

    fun up(peer: NodeIdentity) {
        connected[peer.address] = peer
    }

    /** The last connection to the peer at [address] is closed; who it was. */
    fun down(address: String): NodeIdentity? {
        statuses.remove(address)
        return connected.remove(address)
    }

    fun heard(
        from: String,
        status: NodeFrame.Status,
        now: Long,
    ) {
        statuses[from] = Heard(status, now)
    }

    fun forgetSilent(now: Long) {
        statuses.values.removeIf { now - it.at > FORGET_MILLIS }
    }

    /** The other control node that says that it serves, by its newest term; null when none does. */
    fun leader(now: Long): String? =
        statuses.entries
            .filter { it.value.status.serving && now - it.value.at < SILENT_MILLIS }
            .maxByOrNull { it.value.status.term }
            ?.key

    /** Addresses of all control nodes that this one knows of, itself included. */
    fun knownControls(members: Members): List<String> =
        (members.all.map { MembershipManager.machineOf(it) } + controls() + self.address).toSortedSet().toList()

    /** Control nodes to keep a connection to, when they are others than at the last call. */
    fun newTargets(members: Members): Set<String>? {
        val next =
            seeds + members.all.map { MembershipManager.machineOf(it) } + statuses.values.flatMap { it.status.controls } - self.address
        if (next == wanted) return null
        wanted = next
        return next
    }

    private class Heard(
        val status: NodeFrame.Status,
        val at: Long,
    )

    private companion object {
        /** Silence after which a leader's last word does not count any more. */
        const val SILENT_MILLIS = 1_600L
        const val FORGET_MILLIS = 10_000L
    }
}
