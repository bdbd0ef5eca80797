package rhubarbknot.quorum

import kotlinx.serialization.Serializable

/** The type of a [LogEntry], which determines how its payload is interpreted. */
@Serializable
enum class EntryKind { COMMAND, MEMBERS, NOOP }

/**
 * An entry of the replicated log.
 *
 * @property index position in the log, starting at 1 and contiguous.
 * @property term term of the leader that created the entry.
 * @property payload an opaque application command, the encoded [Members] for [EntryKind.MEMBERS], or empty for [EntryKind.NOOP].
 */
@Serializable
class LogEntry(
    val index: Long,
    val term: Long,
    val kind: EntryKind,
    @kotlinx.serialization.cbor.ByteString val payload: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is LogEntry && index == other.index && term == other.term && kind == other.kind && payload.contentEquals(other.payload)

    override fun hashCode(): Int = (index * 31 + term).hashCode()

    override fun toString(): String = "LogEntry($index@$term $kind ${payload.size}B)"
}

/**
 * The application state after [index]; it replaces all log entries up to that index.
 *
 * @property state opaque bytes produced by the application and restored unchanged.
 */
@Serializable
class Snapshot(
    val index: Long,
    val term: Long,
    val members: Members,
    @kotlinx.serialization.cbor.ByteString val state: ByteArray,
)

/** Raft's persistent term and vote, which must be synced before any message that depends on them is sent. */
@Serializable
data class HardState(
    val term: Long = 0,
    val votedFor: ReplicaId? = null,
)

/** The state recovered from storage after a restart. */
data class DurableState(
    val hardState: HardState = HardState(),
    val snapshot: Snapshot? = null,
    val entries: List<LogEntry> = emptyList(),
)
