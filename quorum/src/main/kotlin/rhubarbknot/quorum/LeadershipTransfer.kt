package rhubarbknot.quorum

/** A leader's attempt to hand its leadership over to another replica. */
internal class LeadershipTransfer {
    /** The replica that is to take over; null when no transfer is in progress. */
    var target: ReplicaId? = null
        private set
    private var deadlineMillis = 0L

    /** Whether the target was asked in this term to take over, and may still do so in spite of this leader's lease. */
    private var isRequested = false

    val isInProgress: Boolean get() = target != null

    fun begin(
        to: ReplicaId,
        deadlineMillis: Long,
    ) {
        target = to
        this.deadlineMillis = deadlineMillis
    }

    fun isOverdue(nowMillis: Long): Boolean = isInProgress && nowMillis >= deadlineMillis

    /** Records that the target is asked to take over. */
    fun requested() {
        isRequested = true
    }

    /** Ends the transfer; returns whether the target may still take over in this term. */
    fun end(): Boolean {
        target = null
        return isRequested
    }

    /** Forgets the transfers of earlier terms. */
    fun termStarted() {
        target = null
        isRequested = false
    }
}
