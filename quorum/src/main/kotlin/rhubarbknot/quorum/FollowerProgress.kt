package rhubarbknot.quorum

/** What a leader knows of one follower. */
internal class FollowerProgress(
    var next: Long,
) {
    var match = 0L
    var inflight = 0

    /** Nothing was heard for a while: only empty appends are sent, until one is answered. */
    var probing = false

    /** The newest of the leader's own clock readings that this follower has echoed. */
    var ackedSentAt = Long.MIN_VALUE
    var lastReplyAt = Long.MIN_VALUE

    /** The snapshot under way to this follower, and how much of it arrived. */
    var snapshot: Snapshot? = null
    var snapshotOffset = 0

    fun acked(
        sentAt: Long,
        now: Long,
    ) {
        ackedSentAt = maxOf(ackedSentAt, sentAt)
        lastReplyAt = now
        probing = false
    }
}
