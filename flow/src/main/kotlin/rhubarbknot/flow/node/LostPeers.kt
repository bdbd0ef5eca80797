package rhubarbknot.flow.node

/**
 * Peers of a control node whose connections were lost and that have not come back. A peer usually dials again by itself; one that was
 * frozen or partitioned while all control nodes were replaced knows none of the addresses any more, so the control nodes dial it and
 * tell each other of it.
 */
internal class LostPeers {
    /** When each peer was lost, by its address. */
    private val lostAt = LinkedHashMap<String, Long>()

    /** Records at [now] that the connection to the peer at [address] was lost [ageMillis] ago. */
    fun add(
        address: String,
        now: Long,
        ageMillis: Long = 0,
    ) {
        if (ageMillis > RETENTION_MILLIS) return
        lostAt.putIfAbsent(address, now - ageMillis)
        if (lostAt.size > MAX_PEERS) lostAt.remove(lostAt.minBy { it.value }.key)
    }

    fun remove(address: String) {
        lostAt.remove(address)
    }

    /** Forgets peers that have been gone for so long that they are not expected back. */
    fun removeStale(now: Long) {
        lostAt.values.removeIf { now - it > RETENTION_MILLIS }
    }

    /** Addresses to dial at [now]. */
    fun due(now: Long): List<String> = lostAt.filterValues { now - it > DIAL_AFTER_MILLIS }.keys.toList()

    /** How long ago, in milliseconds, each peer was lost. The others forget it at the same time, whoever told whom. */
    fun ages(now: Long): Map<String, Long> = lostAt.mapValues { now - it.value }

    private companion object {
        /** Well above the time in which a peer that has not lost its own addresses dials again. */
        const val DIAL_AFTER_MILLIS = 3_000L

        /** Well above the duration of a freeze or partition during which a deployment would replace its control nodes. */
        const val RETENTION_MILLIS = 300_000L
        const val MAX_PEERS = 64
    }
}
