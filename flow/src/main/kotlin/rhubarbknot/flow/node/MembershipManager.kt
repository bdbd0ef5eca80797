package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** A replica to which the leader has an open connection. */
data class ConnectedReplica(
    val id: ReplicaId,
    val zone: String,
)

/**
 * Repairs the membership of the replication group, one change at a time: connected replicas that are not yet
 * members become learners, learners that have caught up replace voters that are permanently lost, and the number of voters is
 * kept at [targetVoterCount].
 *
 * @property targetVoterCount number of voters of a complete group.
 * @property lostAfterMillis time without a connection after which a voter counts as lost if another replica can replace it.
 */
class MembershipManager(
    private val self: ReplicaId,
    private val targetVoterCount: Int,
    private val lostAfterMillis: Long = 6_000,
) {
    private val lastSeenAt = HashMap<ReplicaId, Long>()

    /** Returns the next membership to propose; null when no change is needed. */
    fun nextMembers(
        members: Members,
        connected: List<ConnectedReplica>,
        caughtUp: (ReplicaId) -> Boolean,
        now: Long,
    ): Members? {
        members.all.forEach { lastSeenAt.getOrPut(it) { now } }
        connected.forEach { lastSeenAt[it.id] = now }
        lastSeenAt[self] = now
        val reachable = connected.map { it.id }.toSet() + self
        val superseded = members.all.filter { old -> old !in reachable && reachable.any { addressOf(it) == addressOf(old) } }
        val newReplicas = reachable - members.all
        if (newReplicas.isNotEmpty()) return members.copy(learners = members.learners + newReplicas)
        val zoneByReplica = connected.associate { it.id to it.zone }
        val caughtUpLearners = members.learners.filter { it in reachable && caughtUp(it) }
        val lostVoters = members.voters.filter { it in superseded || now - lastSeenAt.getValue(it) > lostAfterMillis }
        if (lostVoters.isNotEmpty() && caughtUpLearners.isNotEmpty() && members.voters.size >= targetVoterCount) {
            val removed = lostVoters.firstOrNull { it in superseded } ?: lostVoters.first()
            return members.copy(voters = members.voters - removed)
        }
        if (members.voters.size < targetVoterCount && caughtUpLearners.isNotEmpty()) {
            val voterZones = members.voters.mapNotNull { zoneByReplica[it] }
            val promoted = caughtUpLearners.minWith(compareBy({ id -> voterZones.count { it == zoneByReplica[id] } }, { it }))
            return members.copy(voters = members.voters + promoted, learners = members.learners - promoted)
        }
        val lostLearners = members.learners.filter { it in superseded || now - lastSeenAt.getValue(it) > lostAfterMillis }
        if (lostLearners.isNotEmpty()) return members.copy(learners = members.learners - lostLearners.toSet())
        return null
    }

    companion object {
        private const val SEPARATOR = '#'

        /** Id of replica [incarnation] on the node at [address]. A node that starts with an empty disk is a new replica. */
        fun replicaIdFor(
            address: String,
            incarnation: String,
        ): ReplicaId = ReplicaId("$address$SEPARATOR$incarnation")

        /** Address of the node that runs replica [id]. */
        fun addressOf(id: ReplicaId): String = id.name.substringBefore(SEPARATOR)
    }
}
