package rhubarbknot.quorum

/** What of a replica's log is synced, and the messages that may leave only once it is. */
internal class DurabilityTracker(
    recoveredIndex: Long,
) {
    private var writtenSequence = 0L
    private var syncedSequence = 0L
    private val unsynced = ArrayDeque<UnsyncedBatch>()
    private val heldBack = ArrayDeque<DeferredSend>()

    /** Highest index of the log that is synced. */
    var index = recoveredIndex
        private set

    /** Notes a batch after which the log ends at [lastIndex], and returns its sequence. */
    fun written(lastIndex: Long): Long {
        writtenSequence++
        unsynced.addLast(UnsyncedBatch(writtenSequence, lastIndex))
        return writtenSequence
    }

    /** Entries behind [lastIndex] are gone, whether they were synced or not. */
    fun truncated(lastIndex: Long) {
        index = minOf(index, lastIndex)
        unsynced.forEach { it.lastIndex = minOf(it.lastIndex, lastIndex) }
    }

    /** Notes that every batch up to [sequence] is synced, and returns the messages that may leave now. */
    fun synced(sequence: Long): List<ReplicaEffect.Send> {
        syncedSequence = maxOf(syncedSequence, sequence)
        while (unsynced.isNotEmpty() && unsynced.first().sequence <= syncedSequence) {
            index = maxOf(index, unsynced.removeFirst().lastIndex)
        }
        val ready = ArrayList<ReplicaEffect.Send>()
        while (heldBack.isNotEmpty() && heldBack.first().sequence <= syncedSequence) ready.add(heldBack.removeFirst().send)
        return ready
    }

    /** Keeps [send] until everything written so far is synced; false when it is already. */
    fun holdBack(send: ReplicaEffect.Send): Boolean {
        if (syncedSequence >= writtenSequence) return false
        heldBack.addLast(DeferredSend(writtenSequence, send))
        return true
    }

    fun forgetHeldBack() = heldBack.clear()

    private class UnsyncedBatch(
        val sequence: Long,
        var lastIndex: Long,
    )

    private class DeferredSend(
        val sequence: Long,
        val send: ReplicaEffect.Send,
    )
}
