package rhubarbknot.flow.node

/** Decides when a control node reports its status, and to which of its [peers]. */
internal class StatusBroadcaster(
    private val peers: ControlPeers,
) {
    private var dueAt = 0L
    private var toAllDueAt = 0L
    private var lastToAll: NodeFrame.Status? = null

    fun isDue(now: Long): Boolean = now >= dueAt

    /** Sends [status] to the control nodes, and to the gateways if it is news to them or due. */
    fun broadcast(
        status: NodeFrame.Status,
        now: Long,
    ): List<NodeEffect> {
        dueAt = now + PERIOD_MILLIS
        val controls = peers.controlAddresses()
        val gateways = if (isDueForAll(status, now)) peers.addresses - controls.toSet() else emptySet()
        val forControls = forControls(status, now)
        return gateways.map { NodeEffect.Send(it, status) } + controls.map { NodeEffect.Send(it, forControls) }
    }

    /** Sends [status] to [peer], which has just connected. */
    fun greeting(
        peer: NodeIdentity,
        status: NodeFrame.Status,
        now: Long,
    ) = NodeEffect.Send(peer.address, if (peer.replica.isEmpty()) status else forControls(status, now))

    /** [status] as other control nodes get it: with the peers that they are to dial as well. */
    private fun forControls(
        status: NodeFrame.Status,
        now: Long,
    ) = status.copy(lostPeers = peers.lostPeers(now))

    /**
     * Gateways follow the statuses of the leader. Those of the other control nodes are news to them only when they change; they are
     * repeated before a gateway forgets them.
     */
    private fun isDueForAll(
        status: NodeFrame.Status,
        now: Long,
    ): Boolean {
        if (!status.serving && status == lastToAll && now < toAllDueAt) return false
        lastToAll = status
        toAllDueAt = now + QUIET_PERIOD_MILLIS
        return true
    }

    private companion object {
        const val PERIOD_MILLIS = 400L

        /** A fifth of the time after which a gateway forgets a status. */
        const val QUIET_PERIOD_MILLIS = 2_000L
    }
}
