package rhubarbknot.quorum

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer

/** One step of a fuzz run. */
data class Step(
    val action: Int,
    val a: Int,
    val b: Int,
)

/** What the fuzz runs did before healing. */
private class Totals {
    var groups = 0L
    var events = 0L
    var acknowledged = 0L
    var ledTerms = 0L
}

private val totals = Totals()

/** Groups of replicas under faults of network, disk, clock and operators. */
class ReplicaProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `one leader a term, nothing acknowledged is lost or changed, and replicas agree`(
        @ForAll("steps") steps: List<Step>,
        @ForAll worldSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            listOf(3, 4, 5).forEach { size -> play(SimulatedReplicaGroup(size, worldSeed + run), steps) }
        }
    }

    @Property(seed = "20261205", tries = TRIES)
    fun `two hosts and a witness do the same, and the witness never leads`(
        @ForAll("steps") steps: List<Step>,
        @ForAll worldSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            play(
                SimulatedReplicaGroup(3, worldSeed + run, witnesses = 1),
                steps.filter {
                    it.action !=
                        MEMBER_CHANGE
                },
            )
        }
    }

    private fun play(
        group: SimulatedReplicaGroup,
        steps: List<Step>,
    ) {
        steps.forEach { group.step(it.action, it.a, it.b) }
        totals.events += group.events
        totals.acknowledged += group.acknowledgedCount
        totals.ledTerms += group.ledTerms
        totals.groups++
        group.settle()
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val number = Arbitraries.integers().between(0, 99)
        val action = Arbitraries.integers().between(0, 59)
        return Combinators
            .combine(action, number, number)
            .`as` { a, b, c -> Step(a, b, c) }
            .list()
            .ofMinSize(300)
            .ofMaxSize(1500)
    }

    companion object {
        private const val TRIES = 60
        private const val MEMBER_CHANGE = 58
        private val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "60").toInt() / TRIES)

        /** A fuzz run that elects nobody and commits nothing would prove nothing. */
        @AfterContainer
        @JvmStatic
        fun report() {
            println(
                "fuzz: ${totals.groups} groups, ${totals.events} events, ${totals.ledTerms} led terms, ${totals.acknowledged} acknowledged",
            )
            check(totals.acknowledged > totals.groups && totals.ledTerms > totals.groups) { "the fuzz run did too little" }
        }
    }
}
