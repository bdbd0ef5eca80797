package rhubarbknot.quorum

/** A leader's view of the replication progress of one follower. */
internal class FollowerProgress(
    var nextIndex: Long,
) {
    var matchIndex = 0L
    var inflightAppends = 0
    private var resentFrom = nextIndex - 1

    /** Index after which entries may be in flight. */
    val windowStart: Long get() = maxOf(matchIndex, resentFrom)

    /** Sends the entries from [index] on next; whatever was in flight is taken for lost. */
    fun resendFrom(index: Long) {
        nextIndex = index
        resentFrom = index - 1
        inflightAppends = 0
    }

    /** Set while the follower is not responding: only empty appends are sent until it replies. */
    var probing = false

    /** Latest send time, on the leader's clock, that this follower has echoed in a reply. */
    var lastAckedSendTime = Long.MIN_VALUE
    var lastReplyAt = Long.MIN_VALUE

    /** Snapshot being sent to this follower; [snapshotOffset] is the number of bytes it has acknowledged. */
    var snapshot: Snapshot? = null
    var snapshotOffset = 0

    fun recordReply(
        sentAt: Long,
        now: Long,
    ) {
        lastAckedSendTime = maxOf(lastAckedSendTime, sentAt)
        lastReplyAt = now
        probing = false
    }
}
