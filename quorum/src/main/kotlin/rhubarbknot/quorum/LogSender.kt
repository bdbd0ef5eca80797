package rhubarbknot.quorum

/**
 * What a leader's messages to its followers say of the leader itself.
 *
 * @property snapshot the leader's latest snapshot; null before the first one.
 * @property now the leader's clock in milliseconds, echoed by the replies.
 */
internal class LeaderPosition(
    val term: Long,
    val commitIndex: Long,
    val snapshot: Snapshot?,
    val now: Long,
)

/**
 * Chooses what a leader sends to a follower next: entries of the [log] within the window of unacknowledged appends, or a chunk of the
 * latest snapshot if the log no longer holds the entries that the follower lacks.
 */
internal class LogSender(
    private val config: ReplicaConfig,
    private val log: RaftLog,
) {
    /** The messages that are due for [follower]; with [forceSend] at least one, which is a heartbeat if nothing is to be replicated. */
    fun replicate(
        follower: FollowerProgress,
        forceSend: Boolean,
        position: LeaderPosition,
    ): List<ReplicaMessage> {
        if (follower.nextIndex <= log.baseIndex) return listOfNotNull(nextChunk(follower, forceSend, position))
        follower.snapshot = null
        if (follower.probing) return if (forceSend) listOf(append(follower, emptyList(), position)) else emptyList()
        return appendsWithinWindow(follower, forceSend, position)
    }

    /** The chunk of [snapshot] at the offset that [follower] has reached. */
    fun chunk(
        follower: FollowerProgress,
        snapshot: Snapshot,
        position: LeaderPosition,
    ): SnapshotChunk {
        val offset = follower.snapshotOffset
        val end = minOf(snapshot.state.size, offset + config.snapshotChunkBytes)
        val bytes = snapshot.state.copyOfRange(offset, end)
        return SnapshotChunk(
            position.term,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            offset,
            snapshot.state.size,
            bytes,
            position.now,
        )
    }

    private fun nextChunk(
        follower: FollowerProgress,
        forceSend: Boolean,
        position: LeaderPosition,
    ): SnapshotChunk? {
        val snapshot = checkNotNull(position.snapshot) { "log was compacted but no snapshot is available" }
        if (follower.snapshot === snapshot && !forceSend) return null
        if (follower.snapshot !== snapshot) {
            follower.snapshot = snapshot
            follower.snapshotOffset = 0
        }
        return chunk(follower, snapshot, position)
    }

    private fun appendsWithinWindow(
        follower: FollowerProgress,
        forceSend: Boolean,
        position: LeaderPosition,
    ): List<Append> {
        val appends = ArrayList<Append>()
        while ((forceSend && appends.isEmpty()) || (!isWindowFull(follower) && follower.nextIndex <= log.lastIndex)) {
            val entries =
                if (isWindowFull(follower)) emptyList() else log.slice(follower.nextIndex, log.lastIndex, config.maxAppendBytes)
            appends += append(follower, entries, position)
            follower.nextIndex += entries.size
            if (entries.isNotEmpty()) follower.inflightAppends++
        }
        return appends
    }

    private fun append(
        follower: FollowerProgress,
        entries: List<LogEntry>,
        position: LeaderPosition,
    ): Append {
        val prev = follower.nextIndex - 1
        return Append(position.term, prev, checkNotNull(log.termAt(prev)), entries, position.commitIndex, position.now)
    }

    private fun isWindowFull(follower: FollowerProgress): Boolean =
        follower.inflightAppends >= config.maxInflight ||
            log.bytesBetween(follower.windowStart, follower.nextIndex - 1) >= config.maxInflightBytes
}
