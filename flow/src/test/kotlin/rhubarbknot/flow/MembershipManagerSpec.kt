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

@DisplayName("MembershipManager")
class MembershipManagerSpec {
    private val a = ReplicaId("10.0.0.1:1#0")
    private val b = ReplicaId("10.0.0.2:1#0")
    private val c = ReplicaId("10.0.0.3:1#0")
    private val newC = ReplicaId("10.0.0.3:1#99")
    private val d = ReplicaId("10.0.0.4:1#7")
    private val manager = MembershipManager(a, targetVoterCount = 3, lostAfterMillis = 6_000)

    private fun next(
        members: Members,
        connected: List<ReplicaId>,
        caughtUp: Boolean = true,
        now: Long = 0,
    ) = manager.nextMembers(members, connected.map { ConnectedReplica(it, "z${it.name}") }, { caughtUp }, now)

    @Test
    fun `proposes no change while all voters are connected`() {
        expectThat(next(Members(setOf(a, b, c)), listOf(b, c))).isNull()
    }

    @Test
    fun `replaces a replica that lost its disk once its successor has caught up`() {
        val withLearner = next(Members(setOf(a, b, c)), listOf(b, newC))!!
        expectThat(withLearner.learners).isEqualTo(setOf(newC))
        expectThat(next(withLearner, listOf(b, newC), caughtUp = false)).isNull()
        val withoutOldVoter = next(withLearner, listOf(b, newC))!!
        expectThat(withoutOldVoter.voters).isEqualTo(setOf(a, b))
        val repaired = next(withoutOldVoter, listOf(b, newC))!!
        expectThat(repaired).isEqualTo(Members(setOf(a, b, newC)))
        expectThat(next(repaired, listOf(b, newC))).isNull()
    }

    @Test
    fun `replaces a disconnected voter only after the timeout and only when a connected replica can take its place`() {
        val members = Members(setOf(a, b, c), learners = setOf(d))
        expectThat(next(members, listOf(b, d), now = 0)).isNull()
        expectThat(next(members, listOf(b, d), now = 5_000)).isNull()
        expectThat(next(members, listOf(b, d), now = 7_000)?.voters).isEqualTo(setOf(a, b))
        expectThat(
            MembershipManager(a, 3).nextMembers(Members(setOf(a, b, c)), listOf(ConnectedReplica(b, "z")), { true }, 99_000),
        ).isNull()
    }

    @Test
    fun `removes the former id of a learner that lost its disk`() {
        val old = ReplicaId("10.0.0.4:1#6")
        expectThat(
            next(Members(setOf(a, b, c), learners = setOf(old, d)), listOf(b, c, d)),
        ).isEqualTo(Members(setOf(a, b, c), learners = setOf(d)))
    }
}
