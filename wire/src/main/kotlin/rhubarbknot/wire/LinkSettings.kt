package rhubarbknot.wire

import rhubarbknot.host.HostId

/**
 * Timing and limits of a peer connection.
 *
 * @property silenceMillis time without incoming frames after which a connection is closed and dialed again.
 * @property queueFrames maximum number of frames queued for one peer.
 * @property filter drops frames to the peers that it rejects.
 */
data class LinkSettings(
    val pingMillis: Long = 1_000,
    val silenceMillis: Long = 3_000,
    val redialMillis: Long = 200,
    val queueFrames: Int = 16_384,
    val filter: LinkFilter = LinkFilter { true },
)

/** Decides whether frames to a peer are sent, so that drills and tests can simulate network partitions. */
fun interface LinkFilter {
    fun passes(to: HostId): Boolean
}
