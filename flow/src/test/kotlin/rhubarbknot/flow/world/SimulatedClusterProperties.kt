package rhubarbknot.flow.world

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.lifecycle.AfterContainer
import rhubarbknot.core.model.Resources
import strikt.api.expectThat
import strikt.assertions.isEmpty

private var worlds = 0
private var starts = 0L

/** Whole nodes of the system, their workers and callers, under faults drawn from a seed. */
class SimulatedClusterProperties {
    @Property(seed = "20261204", tries = 10)
    fun `nothing accepted is lost, nothing runs twice, and limits hold, whatever fails`(
        @ForAll seed: Long,
    ) {
        repeat(RUNS) { run -> play(seed + run) }
    }

    private fun play(seed: Long) {
        val world = SimulatedCluster(seed, CEILING)
        val callers = SimulatedCallers(world, CEILING)
        callers.configure()
        world.pass(START_MILLIS)
        world.every(SUBMIT_MILLIS) { if (world.now < TRAFFIC_ENDS) callers.submit() }
        world.every(CONFIGURE_MILLIS) { if (world.now < TRAFFIC_ENDS) callers.configure() }
        world.every(ASK_MILLIS) { callers.askAll() }
        val faults = FaultInjector(world)
        while (world.now < TRAFFIC_ENDS) {
            faults.strike()
            world.pass(world.random.nextLong(MOST_PAUSE_MILLIS))
        }
        faults.end()
        world.pass(CALM_MILLIS)
        callers.checkAtEnd()
        world.pass(LAST_ANSWERS_MILLIS)
        worlds++
        starts += world.oracle.starts
        val broken = world.oracle.broken + callers.broken
        if (broken.isNotEmpty()) explain(world, broken)
        expectThat(broken).describedAs("seed $seed: ${callers.accepted.size} accepted").isEmpty()
    }

    /** Prints the notes that tell of the first thing that broke, and of leaders and workers around it. */
    private fun explain(
        world: SimulatedCluster,
        broken: List<String>,
    ) {
        val job = Regex("job-\\d+").find(broken.last())?.value ?: "no job"
        println(broken.take(MOST_TOLD).joinToString("\n"))
        world.notes.filter { Regex("$job\\b|LEADING|WORKER_|LEASE_|FENCED|MEMBERS").containsMatchIn(it) }.forEach { println(it) }
    }

    private companion object {
        const val MOST_TOLD = 20

        val RUNS = System.getProperty("world.runs")?.toInt() ?: 2
        val CEILING = Resources(milliCpus = 12_000, memoryMb = 1_000_000, accelerators = 10, slots = 10)
        const val START_MILLIS = 2_000L

        /** Worlds start at 1,000,000 ms. */
        const val TRAFFIC_ENDS = 1_025_000L
        const val SUBMIT_MILLIS = 60L
        const val CONFIGURE_MILLIS = 2_500L
        const val ASK_MILLIS = 1_000L
        const val MOST_PAUSE_MILLIS = 2_500L
        const val CALM_MILLIS = 45_000L
        const val LAST_ANSWERS_MILLIS = 3_000L

        @JvmStatic
        @AfterContainer
        fun report() = println("whole nodes: $worlds worlds, $starts starts")
    }
}
