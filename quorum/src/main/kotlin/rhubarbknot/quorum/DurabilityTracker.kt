package rhubarbknot.quorum

/** Tracks how much of a replica's log is synced and defers messages that depend on unsynced state. */
internal class DurabilityTracker(
    recoveredIndex: Long,
) {
    private var writtenSequence = 0L
    private var syncedSequence = 0L
    private val unsyncedBatches = ArrayDeque<UnsyncedBatch>()
    private val deferredSends = ArrayDeque<DeferredSend>()

    /** Highest log index that is synced. */
    var syncedIndex = recoveredIndex
        private set

    /** Records a written batch after which the log ends at [lastIndex], and returns its sequence number. */
    fun recordWrite(lastIndex: Long): Long {
        writtenSequence++
        unsyncedBatches.addLast(UnsyncedBatch(writtenSequence, lastIndex))
        return writtenSequence
    }

    /** Records that all entries after [lastIndex], synced or not, were removed. */
    fun recordTruncation(lastIndex: Long) {
        syncedIndex = minOf(syncedIndex, lastIndex)
        unsyncedBatches.forEach { it.lastIndex = minOf(it.lastIndex, lastIndex) }
    }

    /** Records that every batch up to [sequence] is synced, and returns the deferred messages that can now be sent. */
    fun recordSynced(sequence: Long): List<ReplicaEffect.Send> {
        syncedSequence = maxOf(syncedSequence, sequence)
        while (unsyncedBatches.isNotEmpty() && unsyncedBatches.first().sequence <= syncedSequence) {
            syncedIndex = maxOf(syncedIndex, unsyncedBatches.removeFirst().lastIndex)
        }
        val ready = ArrayList<ReplicaEffect.Send>()
        while (deferredSends.isNotEmpty() && deferredSends.first().sequence <= syncedSequence) ready.add(deferredSends.removeFirst().send)
        return ready
    }

    /** Defers [send] until everything written so far is synced; returns false if that is already the case. */
    fun deferUntilSynced(send: ReplicaEffect.Send): Boolean {
        if (syncedSequence >= writtenSequence) return false
        deferredSends.addLast(DeferredSend(writtenSequence, send))
        return true
    }

    fun clearDeferredSends() = deferredSends.clear()

    private class UnsyncedBatch(
        val sequence: Long,
        var lastIndex: Long,
    )

    private class DeferredSend(
        val sequence: Long,
        val send: ReplicaEffect.Send,
    )
}
