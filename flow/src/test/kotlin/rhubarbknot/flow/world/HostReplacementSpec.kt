package rhubarbknot.flow.world

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.node.ControlNode
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.Objects
import java.util.SplittableRandom

/**
 * Replaces a control host and then empties the disk of another one under a virtual clock, and checks that the group still has a
 * leader with all that was acknowledged.
 *
 * With three voters the group bears one loss at a time. A host that is removed stops counting [CATCH_UP_MILLIS] after the start of
 * its replacement, so the disk is lost no earlier than that. With five voters it may be lost at any moment.
 */
@DisplayName("the group after a host was replaced and another one lost its disk")
class HostReplacementSpec {
    private enum class Removal { PLANNED, KILLED, SILENT }

    /** The host that is removed, the one that loses its disk, and when it does, counted from the start of the replacement. */
    private data class Case(
        val voterCount: Int,
        val removal: Removal,
        val removed: Int,
        val wiped: Int,
        val wipedAfterMillis: Long,
    ) {
        /** The same in every process, unlike the hash code of a value with an enum. */
        val seed: Long get() = Objects.hash(voterCount, removal.name, removed, wiped, wipedAfterMillis) + SEED
    }

    private fun cases(
        voterCount: Int,
        removal: Removal,
        moments: LongProgression,
    ): List<Case> {
        val pairs = (0 until voterCount).flatMap { a -> (0 until voterCount).filter { it != a }.map { a to it } }
        return moments.flatMapIndexed { i, moment ->
            val chosen = if (voterCount == 3) pairs else List(PAIRS_OF_FIVE) { pairs[(i * PAIRS_OF_FIVE + it) % pairs.size] }
            chosen.map { (removed, wiped) -> Case(voterCount, removal, removed, wiped, moment) }
        }
    }

    /** Plays [case] and returns what is wrong at its end; null when all holds. */
    private fun failureOf(case: Case): String? {
        val random = SplittableRandom(case.seed)
        val cluster = SimulatedCluster(random.nextLong(), CEILING, voterCount = case.voterCount)
        val callers = SimulatedCallers(cluster, CEILING, crashingJobPeriod = 0)
        val founders = cluster.controls.toList()
        val removed = founders[case.removed]
        val wiped = founders[case.wiped]
        callers.configure(complete = true)
        cluster.advance(STARTUP_MILLIS)
        cluster.every(SUBMIT_INTERVAL_MILLIS) { callers.submit() }
        if (case.removal == Removal.PLANNED) {
            cluster.addControl()
            cluster.advance(CATCH_UP_MILLIS)
            cluster.terminate(removed)
            while (removed.process != null) cluster.advance(1)
            cluster.controls.remove(removed)
        } else {
            cluster.remove(removed, silent = case.removal == Removal.SILENT)
            cluster.advance(random.nextLong(MAX_REPLACEMENT_DELAY_MILLIS))
            cluster.addControl()
        }
        cluster.advance(case.wipedAfterMillis)
        val acknowledged = callers.acknowledgedVersion
        cluster.wipe(wiped)
        cluster.after(DOWN_MILLIS) { cluster.start(wiped) }
        cluster.advance(RECOVERY_MILLIS)
        val leader = cluster.controls.mapNotNull { it.process as? ControlNode }.firstOrNull { it.isLeader }
        return when {
            leader == null -> "no leader"
            (leader.flow.configuration?.version ?: 0) < acknowledged -> "configuration $acknowledged is lost"
            callers.violations.isNotEmpty() -> callers.violations.first()
            else -> null
        }?.let { "$case: $it" }
    }

    private fun failures(
        voterCount: Int,
        removal: Removal,
        moments: LongProgression,
    ) = cases(voterCount, removal, moments).mapNotNull { failureOf(it) }

    @Nested
    @DisplayName("with three voters")
    inner class ThreeVoters {
        // Two of three voters were gone for good: the removed one was still a voter seconds after its replacement had caught up.
        @Test
        fun `has a leader after a killed host was replaced`() {
            expectThat(failures(3, Removal.KILLED, CATCH_UP_MILLIS..LAST_MOMENT_MILLIS step STEP_MILLIS)).isEmpty()
        }

        // The same, when the connections of the removed host stay open until they time out.
        @Test
        fun `has a leader after a silent host was replaced`() {
            expectThat(failures(3, Removal.SILENT, CATCH_UP_MILLIS..LAST_MOMENT_MILLIS step STEP_MILLIS)).isEmpty()
        }

        // The same, when the host was shut down after its replacement had caught up: the disk may be lost at once.
        @Test
        fun `has a leader after a host was shut down and replaced`() {
            expectThat(failures(3, Removal.PLANNED, 0L..LAST_MOMENT_MILLIS step STEP_MILLIS)).isEmpty()
        }
    }

    @Nested
    @DisplayName("with five voters")
    inner class FiveVoters {
        @Test
        fun `has a leader whenever the disk is lost`() {
            expectThat(Removal.entries.flatMap { failures(5, it, 0L..LAST_MOMENT_MILLIS step STEP_MILLIS) }).isEmpty()
        }
    }

    private companion object {
        /** Other values play other clusters. */
        val SEED = System.getProperty("replacement.seed")?.toLong() ?: 0L
        val CEILING = Resources(milliCpus = 12_000, memoryMb = 1_000_000, accelerators = 10, slots = 10)

        /** The deployment may lose another host this long after the replacement of a lost one has started. */
        const val CATCH_UP_MILLIS = 4_000L
        const val MAX_REPLACEMENT_DELAY_MILLIS = 1_000L
        const val LAST_MOMENT_MILLIS = 10_000L

        /** Distance of the moments at which the disk is lost; smaller in long runs. */
        val STEP_MILLIS = System.getProperty("replacement.step")?.toLong() ?: 1_000L

        /** Pairs of hosts played at each moment with five voters; all twenty take turns. */
        const val PAIRS_OF_FIVE = 2
        const val STARTUP_MILLIS = 2_000L
        const val SUBMIT_INTERVAL_MILLIS = 100L
        const val DOWN_MILLIS = 1_000L
        const val RECOVERY_MILLIS = 12_000L
    }
}
