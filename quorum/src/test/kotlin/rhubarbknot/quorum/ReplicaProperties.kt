package rhubarbknot.quorum

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer

/** One step of a fuzz run; [replicaNumber] and [argument] are interpreted by the action. */
data class Step(
    val action: Int,
    val replicaNumber: Int,
    val argument: Int,
)

/** Totals over all fuzz runs, counted before the faults are repaired. */
private class Totals {
    var groups = 0L
    var events = 0L
    var acknowledged = 0L
    var ledTerms = 0L
}

private val totals = Totals()

/** Replica groups under network and disk faults, pauses, crashes and operator actions. */
class ReplicaProperties {
    @Property(seed = "20261204", tries = TRIES)
    fun `each term has at most one leader, acknowledged entries are kept unchanged and replicas agree`(
        @ForAll("steps") steps: List<Step>,
        @ForAll groupSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            listOf(3, 4, 5).forEach { size -> runSteps(SimulatedReplicaGroup(size, groupSeed + run), steps) }
        }
    }

    @Property(seed = "20261205", tries = TRIES)
    fun `two hosts and a witness give the same guarantees and the witness never leads`(
        @ForAll("steps") steps: List<Step>,
        @ForAll groupSeed: Long,
    ) {
        repeat(RUNS_PER_TRY) { run ->
            runSteps(
                SimulatedReplicaGroup(3, groupSeed + run, witnesses = 1),
                steps.filter {
                    it.action !=
                        MEMBER_CHANGE
                },
            )
        }
    }

    private fun runSteps(
        group: SimulatedReplicaGroup,
        steps: List<Step>,
    ) {
        steps.forEach { group.step(it.action, it.replicaNumber, it.argument) }
        totals.events += group.events
        totals.acknowledged += group.acknowledgedCount
        totals.ledTerms += group.ledTerms
        totals.groups++
        group.settle()
    }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val numbers = Arbitraries.integers().between(0, 99)
        val actions = Arbitraries.integers().between(0, 59)
        return Combinators
            .combine(actions, numbers, numbers)
            .`as` { action, replicaNumber, argument -> Step(action, replicaNumber, argument) }
            .list()
            .ofMinSize(300)
            .ofMaxSize(1500)
    }

    companion object {
        private const val TRIES = 60
        private const val MEMBER_CHANGE = 58
        private val RUNS_PER_TRY: Int = maxOf(1, (System.getProperty("fuzz.tries") ?: "60").toInt() / TRIES)

        /** Guards against vacuous fuzz runs, in which no leader is elected and nothing is committed. */
        @AfterContainer
        @JvmStatic
        fun report() {
            println(
                "fuzz: ${totals.groups} groups, ${totals.events} events, ${totals.ledTerms} led terms, ${totals.acknowledged} acknowledged",
            )
            check(totals.acknowledged > totals.groups && totals.ledTerms > totals.groups) {
                "fuzz runs elected too few leaders or acknowledged too few proposals"
            }
        }
    }
}
