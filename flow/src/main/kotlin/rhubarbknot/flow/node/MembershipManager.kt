package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/**
 * A replica to which this node has an open connection.
 *
 * @property leaving whether its process is shutting down, so that it should not stay a voter.
 */
data class ConnectedReplica(
    val id: ReplicaId,
    val zone: String,
    val leaving: Boolean = false,
)

/**
 * Repairs the membership of the replication group, one change at a time: connected replicas that are not yet members become
 * learners, learners that have caught up replace voters that are lost or leaving, and the number of voters is kept at
 * [targetVoterCount].
 *
 * Every node observes the others, so that a new leader knows since when a voter has been gone. A lost voter is removed before its
 * replacement is added: until then the change must not depend on a replica that has only just started. A leaving voter is still
 * there, so its replacement is added first and the group can lose a voter at any moment.
 *
 * @property targetVoterCount number of voters of a complete group.
 * @property lostAfterMillis time without a connection after which a voter counts as lost if another replica can replace it.
 */
class MembershipManager(
    private val self: ReplicaId,
    private val targetVoterCount: Int,
    private val lostAfterMillis: Long = DEFAULT_LOST_AFTER_MILLIS,
) {
    private val lastSeenAt = HashMap<ReplicaId, Long>()
    private var observedAt = Long.MAX_VALUE

    /** Records at [now] which of [members] are [connected]. */
    fun observe(
        members: Members,
        connected: List<ConnectedReplica>,
        now: Long,
    ) {
        // After a pause of this process, the others have been out of sight but not necessarily gone.
        if (now - observedAt > lostAfterMillis / 2) lastSeenAt.clear()
        observedAt = now
        lastSeenAt.keys.retainAll(members.all)
        members.all.forEach { lastSeenAt.getOrPut(it) { now } }
        connected.forEach { lastSeenAt[it.id] = now }
        lastSeenAt[self] = now
    }

    /** Returns the next membership to propose; null when no change is needed. Observes the others as well. */
    fun nextMembers(
        members: Members,
        connected: List<ConnectedReplica>,
        caughtUp: (ReplicaId) -> Boolean,
        now: Long,
    ): Members? {
        observe(members, connected, now)
        val reachable = connected.map { it.id }.toSet() + self
        val newReplicas = reachable - members.all
        if (newReplicas.isNotEmpty()) return members.copy(learners = members.learners + newReplicas)
        val leaving = connected.filter { it.leaving }.map { it.id }.toSet()
        val zoneByReplica = connected.associate { it.id to it.zone }
        val lost = members.all.filter { isLost(it, reachable, now) }
        val lostVoter =
            lost.firstOrNull { it in members.voters && isSuperseded(it, reachable) } ?: lost.firstOrNull { it in members.voters }
        val leavingVoter = members.voters.firstOrNull { it in leaving }
        val successor = bestSuccessor(members, members.learners.filter { it in reachable && it !in leaving && caughtUp(it) }, zoneByReplica)
        return when {
            members.voters.size > targetVoterCount -> withoutExtraVoter(members, lostVoter, leavingVoter)
            successor == null -> null
            members.voters.size < targetVoterCount -> promoted(members, successor)
            lostVoter != null -> members.copy(voters = members.voters - lostVoter)
            leavingVoter != null && members.voters.all { it in reachable } -> promoted(members, successor)
            else -> null
        } ?: withoutLearners(members, lost)
    }

    private fun isSuperseded(
        id: ReplicaId,
        reachable: Set<ReplicaId>,
    ) = id !in reachable && reachable.any { addressOf(it) == addressOf(id) }

    private fun isLost(
        id: ReplicaId,
        reachable: Set<ReplicaId>,
        now: Long,
    ) = isSuperseded(id, reachable) || now - lastSeenAt.getValue(id) > lostAfterMillis

    /** The candidate whose availability zone has the fewest voters. */
    private fun bestSuccessor(
        members: Members,
        candidates: List<ReplicaId>,
        zoneByReplica: Map<ReplicaId, String>,
    ): ReplicaId? {
        val voterZones = members.voters.mapNotNull { zoneByReplica[it] }
        return candidates.minWithOrNull(compareBy({ id -> voterZones.count { it == zoneByReplica[id] } }, { it }))
    }

    private fun promoted(
        members: Members,
        learner: ReplicaId,
    ) = members.copy(voters = members.voters + learner, learners = members.learners - learner)

    /** A voter that is still there becomes a learner, so that it receives the change. */
    private fun withoutExtraVoter(
        members: Members,
        lost: ReplicaId?,
        leaving: ReplicaId?,
    ): Members {
        if (lost != null) return members.copy(voters = members.voters - lost)
        val extra = leaving ?: members.voters.filter { it != self }.max()
        return members.copy(voters = members.voters - extra, learners = members.learners + extra)
    }

    private fun withoutLearners(
        members: Members,
        lost: List<ReplicaId>,
    ): Members? {
        val remaining = members.learners - lost.toSet()
        return members.copy(learners = remaining).takeIf { remaining != members.learners }
    }

    companion object {
        private const val SEPARATOR = '#'

        /** Longer than a process takes to restart. */
        const val DEFAULT_LOST_AFTER_MILLIS = 1_500L

        /** Id of replica [incarnation] on the node at [address]. A node that starts with an empty disk is a new replica. */
        fun replicaIdFor(
            address: String,
            incarnation: String,
        ): ReplicaId = ReplicaId("$address$SEPARATOR$incarnation")

        /** Address of the node that runs replica [id]. */
        fun addressOf(id: ReplicaId): String = id.name.substringBefore(SEPARATOR)
    }
}
