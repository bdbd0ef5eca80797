package rhubarbknot.quorum

/** An input of a [Replica]. */
sealed interface ReplicaEvent {
    /** Periodic timer event that makes the replica check its timeouts. */
    data object Tick : ReplicaEvent

    /** A message was received from [from]. */
    data class Received(
        val from: ReplicaId,
        val message: ReplicaMessage,
    ) : ReplicaEvent

    /** Requests that the leader commit [payloads] in this order. Ignored by replicas in any other role. */
    data class Propose(
        val payloads: List<ByteArray>,
    ) : ReplicaEvent

    /** Requests that the leader change the membership. */
    data class ProposeMembers(
        val members: Members,
    ) : ReplicaEvent

    /** Every [ReplicaEffect.Persist] up to [sequence] has been synced. */
    data class Persisted(
        val sequence: Long,
    ) : ReplicaEvent

    /** The last connection to [peer] was closed, so its process may have ended. A hint that only speeds up elections. */
    data class Disconnected(
        val peer: ReplicaId,
    ) : ReplicaEvent

    /** A write or sync failed. The replica stops voting and acknowledging until it is restarted. */
    data class PersistFailed(
        val reason: String,
    ) : ReplicaEvent

    /** Supplies [state], the application state after [index]; log entries up to that index may be removed. */
    class Compact(
        val index: Long,
        val state: ByteArray,
    ) : ReplicaEvent

    /** The clock may not have counted some time, such as a suspension of the host: a lease measured on it can't be relied on. */
    data object ClockDoubted : ReplicaEvent

    /** Requests that the leader transfer leadership to [to], or to the most up-to-date follower if [to] is not eligible. */
    data class TransferLeadership(
        val to: ReplicaId? = null,
    ) : ReplicaEvent
}

/** An output of a [Replica]; effects must be carried out in order. */
sealed interface ReplicaEffect {
    /** Send [message] to [to]. Delivery is best effort. */
    data class Send(
        val to: ReplicaId,
        val message: ReplicaMessage,
    ) : ReplicaEffect

    /**
     * Write and sync, then report [ReplicaEvent.Persisted]. Batches are written in order of [sequence].
     *
     * @property truncateAfter if set, remove stored entries after this index before appending [entries].
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

    /** Replace the application state with that of [snapshot]. */
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

/** The current role of a replica. */
enum class Role { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER, HALTED }
