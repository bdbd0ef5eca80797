package rhubarbknot.flow.node

import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** A replica that the leader has a connection to. */
data class ConnectedReplica(
    val id: ReplicaId,
    val zone: String,
)

/**
 * Heals the membership of the group, one step at a time: connected strangers learn, learners that have caught up
 * take the place of voters that are lost for good, and there are as many voters as the losses to be borne ask for.
 *
 * @property targetVoterCount voters of a whole group.
 * @property goneMillis silence after which a voter counts as lost when another replica can take its place.
 */
class MembershipManager(
    private val self: ReplicaId,
    private val targetVoterCount: Int,
    private val goneMillis: Long = 6_000,
) {
    private val seenAt = HashMap<ReplicaId, Long>()

    /** The next membership to propose; null when nothing is to be changed. */
    fun next(
        members: Members,
        connected: List<ConnectedReplica>,
        caughtUp: (ReplicaId) -> Boolean,
        now: Long,
    ): Members? {
        members.all.forEach { seenAt.getOrPut(it) { now } }
        connected.forEach { seenAt[it.id] = now }
        seenAt[self] = now
        val present = connected.map { it.id }.toSet() + self
        val superseded = members.all.filter { old -> old !in present && present.any { machineOf(it) == machineOf(old) } }
        val strangers = present - members.all
        if (strangers.isNotEmpty()) return members.copy(learners = members.learners + strangers)
        val zones = connected.associate { it.id to it.zone }
        val ready = members.learners.filter { it in present && caughtUp(it) }
        val gone = members.voters.filter { it in superseded || now - seenAt.getValue(it) > goneMillis }
        if (gone.isNotEmpty() && ready.isNotEmpty() && members.voters.size >= targetVoterCount) {
            val first = gone.firstOrNull { it in superseded } ?: gone.first()
            return members.copy(voters = members.voters - first)
        }
        if (members.voters.size < targetVoterCount && ready.isNotEmpty()) {
            val crowded = members.voters.mapNotNull { zones[it] }
            val best = ready.minWith(compareBy({ id -> crowded.count { it == zones[id] } }, { it }))
            return members.copy(voters = members.voters + best, learners = members.learners - best)
        }
        val stale = members.learners.filter { it in superseded || now - seenAt.getValue(it) > goneMillis }
        if (stale.isNotEmpty()) return members.copy(learners = members.learners - stale.toSet())
        return null
    }

    companion object {
        private const val SEPARATOR = '#'

        /** Name of replica number [life] on the machine with [address]: an empty disk makes a new replica. */
        fun replicaIdFor(
            address: String,
            life: String,
        ): ReplicaId = ReplicaId("$address$SEPARATOR$life")

        /** RequestTarget of the machine that holds [id]. */
        fun machineOf(id: ReplicaId): String = id.name.substringBefore(SEPARATOR)
    }
}
