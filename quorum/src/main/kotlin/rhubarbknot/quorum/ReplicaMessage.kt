package rhubarbknot.quorum

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between two replicas of a group. Every message carries the sender's [term]. */
@Serializable
sealed interface ReplicaMessage {
    val term: Long
}

/**
 * Requests a vote (RequestVote in Raft).
 *
 * @property preVote whether this is a pre-vote, which changes no state at the receiver.
 * @property transfer whether the leader requested this election to transfer leadership; voters then don't wait for its lease to expire.
 */
@Serializable
@SerialName("voteRequest")
data class VoteRequest(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val preVote: Boolean,
    val transfer: Boolean = false,
) : ReplicaMessage

/** Reply to a [VoteRequest]. */
@Serializable
@SerialName("voteReply")
data class VoteReply(
    override val term: Long,
    val granted: Boolean,
    val preVote: Boolean,
) : ReplicaMessage

/**
 * Replicates entries that follow [prevIndex] (AppendEntries in Raft); without entries it serves as a heartbeat.
 *
 * @property sentAtMillis send time on the leader's clock; the reply echoes it to extend the leader lease.
 */
@Serializable
@SerialName("append")
data class Append(
    override val term: Long,
    val prevIndex: Long,
    val prevTerm: Long,
    val entries: List<LogEntry>,
    val commitIndex: Long,
    val sentAtMillis: Long,
) : ReplicaMessage

/**
 * Reply to an [Append], sent once its entries are synced.
 *
 * @property matchIndex on success, the last index known to match; on failure, the last index that may match, so that the
 * leader retries with the entry after it.
 */
@Serializable
@SerialName("appendReply")
data class AppendReply(
    override val term: Long,
    val success: Boolean,
    val matchIndex: Long,
    val sentAtMillis: Long,
) : ReplicaMessage

/** A chunk of a snapshot, starting at byte [offset] of its state. */
@Serializable
@SerialName("snapshotChunk")
class SnapshotChunk(
    override val term: Long,
    val index: Long,
    val snapshotTerm: Long,
    val members: Members,
    val offset: Int,
    val totalBytes: Int,
    @kotlinx.serialization.cbor.ByteString val bytes: ByteArray,
    val sentAtMillis: Long,
) : ReplicaMessage

/** Acknowledges a [SnapshotChunk]; [receivedBytes] is the offset of the next chunk to send. */
@Serializable
@SerialName("snapshotReply")
data class SnapshotReply(
    override val term: Long,
    val index: Long,
    val receivedBytes: Int,
    val installed: Boolean,
    val sentAtMillis: Long,
) : ReplicaMessage

/** Tells the receiver to start an election immediately, to complete a leadership transfer. */
@Serializable
@SerialName("timeoutNow")
data class TimeoutNow(
    override val term: Long,
) : ReplicaMessage
