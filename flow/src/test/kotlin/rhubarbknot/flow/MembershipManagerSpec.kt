package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.node.ConnectedReplica
import rhubarbknot.flow.node.MembershipManager
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

@DisplayName("the membership of the group")
class MembershipManagerSpec {
    private val a = ReplicaId("10.0.0.1:1#0")
    private val b = ReplicaId("10.0.0.2:1#0")
    private val c = ReplicaId("10.0.0.3:1#0")
    private val newC = ReplicaId("10.0.0.3:1#99")
    private val d = ReplicaId("10.0.0.4:1#7")
    private val keeper = MembershipManager(a, targetVoterCount = 3, goneMillis = 6_000)

    private fun next(
        members: Members,
        connected: List<ReplicaId>,
        caughtUp: Boolean = true,
        now: Long = 0,
    ) = keeper.next(members, connected.map { ConnectedReplica(it, "z${it.name}") }, { caughtUp }, now)

    @Test
    fun `changes nothing while all voters are there`() {
        expectThat(next(Members(setOf(a, b, c)), listOf(b, c))).isNull()
    }

    @Test
    fun `exchanges a replica that lost its disk, once the new one has caught up`() {
        val learning = next(Members(setOf(a, b, c)), listOf(b, newC))!!
        expectThat(learning.learners).isEqualTo(setOf(newC))
        expectThat(next(learning, listOf(b, newC), caughtUp = false)).isNull()
        val without = next(learning, listOf(b, newC))!!
        expectThat(without.voters).isEqualTo(setOf(a, b))
        val healed = next(without, listOf(b, newC))!!
        expectThat(healed).isEqualTo(Members(setOf(a, b, newC)))
        expectThat(next(healed, listOf(b, newC))).isNull()
    }

    @Test
    fun `gives the vote of a silent replica away only after a while, and only to one that is there`() {
        val members = Members(setOf(a, b, c), learners = setOf(d))
        expectThat(next(members, listOf(b, d), now = 0)).isNull()
        expectThat(next(members, listOf(b, d), now = 5_000)).isNull()
        expectThat(next(members, listOf(b, d), now = 7_000)?.voters).isEqualTo(setOf(a, b))
        expectThat(MembershipManager(a, 3).next(Members(setOf(a, b, c)), listOf(ConnectedReplica(b, "z")), { true }, 99_000)).isNull()
    }

    @Test
    fun `forgets the name that a learner had before it lost its disk`() {
        val old = ReplicaId("10.0.0.4:1#6")
        expectThat(
            next(Members(setOf(a, b, c), learners = setOf(old, d)), listOf(b, c, d)),
        ).isEqualTo(Members(setOf(a, b, c), learners = setOf(d)))
    }
}
