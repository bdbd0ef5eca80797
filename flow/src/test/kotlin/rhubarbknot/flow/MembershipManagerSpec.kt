package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
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
        for (now in 1_000L..6_000L step 1_000) expectThat(next(members, listOf(b, d), now = now)).isNull()
        expectThat(next(members, listOf(b, d), now = 7_000)?.voters).isEqualTo(setOf(a, b))
        expectThat(
            MembershipManager(a, 3).nextMembers(Members(setOf(a, b, c)), listOf(ConnectedReplica(b, "z")), { true }, 99_000),
        ).isNull()
    }

    // A follower that became leader took voters for lost that it had last seen when it had been leader before.
    @Test
    fun `does not count the time in which it observed nothing`() {
        val members = Members(setOf(a, b, c), learners = setOf(d))
        manager.observe(members, listOf(b, c, d).map { ConnectedReplica(it, "z") }, now = 0)
        expectThat(next(members, listOf(b, d), now = 60_000)).isNull()
        expectThat(next(members, listOf(b, d), now = 62_000)).isNull()
    }

    @Test
    fun `knows as a new leader since when a voter has been gone`() {
        val members = Members(setOf(a, b, c), learners = setOf(d))
        for (now in 0L..6_000L step 1_000) manager.observe(members, listOf(b, d).map { ConnectedReplica(it, "z") }, now)
        expectThat(next(members, listOf(b, d), now = 6_200)?.voters).isEqualTo(setOf(a, b))
    }

    @Nested
    @DisplayName("when a voter is leaving")
    inner class LeavingVoters {
        private val others = listOf(ConnectedReplica(b, "z"), ConnectedReplica(c, "z", leaving = true))

        private fun next(members: Members) = manager.nextMembers(members, others + ConnectedReplica(d, "z"), { true }, 0)

        // Another host lost its disk right after a replaced host had left: two of three voters were gone for good.
        @Test
        fun `adds a voter in its place before it goes, and keeps it as a learner`() {
            val withFour = next(Members(setOf(a, b, c), learners = setOf(d)))!!
            expectThat(withFour).isEqualTo(Members(setOf(a, b, c, d)))
            val withThree = next(withFour)!!
            expectThat(withThree).isEqualTo(Members(setOf(a, b, d), learners = setOf(c)))
            expectThat(next(withThree)).isNull()
        }

        @Test
        fun `keeps it when no other replica can take its place`() {
            expectThat(manager.nextMembers(Members(setOf(a, b, c)), others, { true }, 0)).isNull()
            expectThat(
                manager.nextMembers(
                    Members(setOf(a, b, c), learners = setOf(d)),
                    others + ConnectedReplica(d, "z", leaving = true),
                    { true },
                    0,
                ),
            ).isNull()
        }

        @Test
        fun `removes a voter that is lost meanwhile before it adds another one`() {
            val members = Members(setOf(a, b, c), learners = setOf(d))
            val connected = listOf(ConnectedReplica(c, "z", leaving = true), ConnectedReplica(d, "z"))
            for (now in 0L..6_000L step 1_000) manager.observe(members, connected, now)
            expectThat(manager.nextMembers(members, connected, { true }, 6_200)?.voters).isEqualTo(setOf(a, c))
        }
    }

    @Test
    fun `removes the former id of a learner that lost its disk`() {
        val old = ReplicaId("10.0.0.4:1#6")
        expectThat(
            next(Members(setOf(a, b, c), learners = setOf(old, d)), listOf(b, c, d)),
        ).isEqualTo(Members(setOf(a, b, c), learners = setOf(d)))
    }
}
