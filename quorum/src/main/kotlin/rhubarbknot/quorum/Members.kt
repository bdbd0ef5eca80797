package rhubarbknot.quorum

import kotlinx.serialization.Serializable

/** Identifier of a replica, unique within its group. */
@Serializable
@JvmInline
value class ReplicaId(
    val name: String,
) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/**
 * The membership of a replica group.
 *
 * @property voters replicas whose votes and acknowledgements count towards a quorum.
 * @property witnesses voters that never campaign; they store the log and break ties.
 * @property learners non-voting replicas that receive the log.
 */
@Serializable
data class Members(
    val voters: Set<ReplicaId>,
    val witnesses: Set<ReplicaId> = emptySet(),
    val learners: Set<ReplicaId> = emptySet(),
) {
    /** All replicas that receive the log. */
    val all: Set<ReplicaId> get() = voters + learners

    /** Number of votes or acknowledgements that form a majority. */
    val quorum: Int get() = voters.size / 2 + 1

    /** Whether [ids] contains a majority of the voters. */
    fun isQuorum(ids: Collection<ReplicaId>): Boolean = voters.count { it in ids } >= quorum

    /** Whether [next] adds or removes at most one voter, so that every old quorum overlaps every new one. */
    fun isSingleStepTo(next: Members): Boolean = (voters - next.voters).size + (next.voters - voters).size <= 1
}
