package rhubarbknot.quorum

/** Input of a [Replica]. */
sealed interface ReplicaEvent {
    /** Time has passed; deadlines are checked. */
    data object Tick : ReplicaEvent

    /** A message came from [from]. */
    data class Received(
        val from: ReplicaId,
        val message: ReplicaMessage,
    ) : ReplicaEvent

    /** The embedder asks a leader to commit [payloads] in this order. Dropped by any other role. */
    data class Propose(
        val payloads: List<ByteArray>,
    ) : ReplicaEvent

    /** The embedder asks a leader to change the membership. */
    data class ProposeMembers(
        val members: Members,
    ) : ReplicaEvent

    /** Every [ReplicaEffect.Persist] up to [sequence] is synced. */
    data class Persisted(
        val sequence: Long,
    ) : ReplicaEvent

    /** The last connection to [peer] is closed: its process may have ended. A hint, which only saves waiting. */
    data class Disconnected(
        val peer: ReplicaId,
    ) : ReplicaEvent

    /** A write or sync failed. The replica stops voting and acknowledging until it is restarted. */
    data class PersistFailed(
        val reason: String,
    ) : ReplicaEvent

    /** The embedder's state after [index] is [state]; entries up to it may be dropped. */
    class Compact(
        val index: Long,
        val state: ByteArray,
    ) : ReplicaEvent

    /** A leader hands over to [to], or to the most advanced follower. */
    data class TransferLeadership(
        val to: ReplicaId? = null,
    ) : ReplicaEvent
}

/** Output of a [Replica], to be carried out in order. */
sealed interface ReplicaEffect {
    /** Send [message] to [to]; may be lost. */
    data class Send(
        val to: ReplicaId,
        val message: ReplicaMessage,
    ) : ReplicaEffect

    /**
     * Write, sync, then report [ReplicaEvent.Persisted]. Batches are written in order of [sequence].
     *
     * @property truncateAfter drop stored entries behind this index before [entries] are appended.
     */
    data class Persist(
        val sequence: Long,
        val hardState: HardState? = null,
        val truncateAfter: Long? = null,
        val entries: List<LogEntry> = emptyList(),
        val snapshot: Snapshot? = null,
    ) : ReplicaEffect

    /** Apply committed [entries], in order. */
    data class Apply(
        val entries: List<LogEntry>,
    ) : ReplicaEffect

    /** Replace the embedder's state. */
    data class Restore(
        val snapshot: Snapshot,
    ) : ReplicaEffect

    /** The role, term or known leader changed. */
    data class RoleChanged(
        val role: Role,
        val term: Long,
        val leader: ReplicaId?,
    ) : ReplicaEffect
}

/** What a replica is at present. */
enum class Role { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER, HALTED }
