package rhubarbknot.flow.node

/**
 * Watches whether a process is connected to any control node. While it is not, this logs which addresses are dialled and has the seeds
 * read again.
 */
internal class ControlContact(
    private val self: String,
    startedAt: Long,
) {
    private val connected = LinkedHashSet<String>()
    private var lostAt = startedAt
    private var nextReportAt = startedAt + REPORT_AFTER_MILLIS
    private var isReported = false

    /** Number of connected control nodes. */
    val count: Int get() = connected.size

    /** Time without a connection to any control node, in milliseconds; 0 while there is one. */
    fun lostForMillis(now: Long): Long = if (connected.isEmpty()) now - lostAt else 0

    /** Records a connection to [peer] and returns the effects of it. */
    fun peerConnected(
        peer: NodeIdentity,
        now: Long,
    ): List<NodeEffect> {
        if (peer.replica.isEmpty()) return emptyList()
        val regained = log(NodeLogEvent.CONTROLS_REGAINED, "address=${peer.address} after=${lostForMillis(now)}ms").takeIf { isReported }
        connected += peer.address
        isReported = false
        return listOfNotNull(regained)
    }

    /** Records that the last connection to the peer at [address] was closed. */
    fun peerDisconnected(
        address: String,
        now: Long,
    ) {
        if (!connected.remove(address) || connected.isNotEmpty()) return
        lostAt = now
        nextReportAt = now + REPORT_AFTER_MILLIS
    }

    /** Returns the effects that are due at [now]; [dialled] describes the addresses that are dialled. */
    fun tick(
        now: Long,
        dialled: () -> String,
    ): List<NodeEffect> {
        if (connected.isNotEmpty() || now < nextReportAt) return emptyList()
        nextReportAt = now + REPORT_PERIOD_MILLIS
        isReported = true
        return listOf(
            log(NodeLogEvent.CONTROLS_UNREACHABLE, "for=${lostForMillis(now)}ms dialled=${dialled()}"),
            NodeEffect.ReadSeeds,
        )
    }

    private fun log(
        event: NodeLogEvent,
        detail: String,
    ) = NodeEffect.LogEvent(EventLogEntry(event, self, detail))

    private companion object {
        /** Above the time in which a killed control node is back. */
        const val REPORT_AFTER_MILLIS = 2_000L
        const val REPORT_PERIOD_MILLIS = 5_000L
    }
}
