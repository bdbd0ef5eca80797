package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchEvent
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.state.FlowCommand
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/**
 * Guards against turns of the control thread that grow with the size of a job: a turn longer than the lease costs the leader its term,
 * and each new leader began anew, so that one job left the system without a leader for good.
 */
@DisplayName("a turn of the dispatcher, with very large jobs")
class BoundedTurnSpec : DispatcherTest() {
    private var visits = 0L

    /** The list [steps], whose elements are counted whenever they are read. */
    private inner class CountedList(
        private val steps: List<Int>,
    ) : AbstractList<Int>() {
        override val size: Int get() = steps.size

        override fun get(index: Int): Int {
            visits++
            return steps[index]
        }
    }

    private fun tiny(count: Int) = StepSpec(count, Resources(milliCpus = 1))

    @Test
    fun `reads the dependencies of a job a fixed number of times, however often it plans`() {
        registerWorkers("w1")
        val dependencies = 10
        val steps = List(STEPS) { i -> tiny(1).copy(after = CountedList((0 until minOf(i, dependencies)).toList())) }
        submit("a", *steps.toTypedArray())
        repeat(20) { dispatchAll(200) }
        expectThat(visits).isLessThanOrEqualTo(8L * STEPS * dependencies)
    }

    @Test
    fun `assigns a limited number of runs in one command, and all in the end`() {
        registerWorkers("w1", "w2", "w3")
        submit("a", tiny(5_000))
        val assigned = ArrayList<Int>()
        repeat(40) {
            now += 10
            dispatcher.dispatchDue(now)
            dispatcher.drain().filterIsInstance<DispatchEffect.Propose>().forEach {
                (it.command as? FlowCommand.Assign)?.let { command -> assigned += command.runs.size }
                dispatcher.commandApplied(it.command, state.apply(it.command), now)
            }
        }
        expectThat(assigned).all { isLessThanOrEqualTo(500) }
        expectThat(assigned.sum()).isEqualTo(5_000)
    }

    @Test
    fun `plans no further runs while many wait for their commit, and goes on after it`() {
        registerWorkers("w1", "w2", "w3")
        submit("a", tiny(5_000))
        val proposals = ArrayList<DispatchEffect.Propose>()
        repeat(20) {
            now += 10
            dispatcher.dispatchDue(now)
            proposals += dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        }
        expectThat(proposals.sumOf { (it.command as FlowCommand.Assign).runs.size }).isEqualTo(1_000)
        proposals.forEach { dispatcher.commandApplied(it.command, state.apply(it.command), now) }
        repeat(20) { dispatchAll(10) }
        expectThat(sent.starts.map { it.run.task.index }.toSet()).hasSize(5_000)
    }

    @Test
    fun `ends a turn after a limited number of operations and goes on in the next one`() {
        val workers = (1..30).map { "w$it" }.toTypedArray()
        registerWorkers(*workers)
        repeat(5_000) { submit("waiting-$it", step().copy(demand = Resources(milliCpus = 5_000))) }
        submit("last", step())
        val started = ArrayList<WorkerCall.Start>()
        repeat(5) { started += startCalls(dispatchAll(10)) }
        expectThat(dispatcher.longestPlanningTurn).isLessThan(110_000)
        expectThat(started.map { it.run.task.job }).isEqualTo(listOf("last"))
    }

    @Test
    fun `keeps in later turns what was reserved in an earlier one`() {
        val workers = (1..30).map { "w$it" }.toTypedArray()
        registerWorkers(*workers)
        submit("running", step())
        expectThat(startCalls(dispatchAll())).hasSize(1)
        submit("gang", step(30, gang = true).copy(demand = FlowFixture.ROOM))
        repeat(6_000) { submit("later-$it", step()) }
        repeat(5) { expectThat(startCalls(dispatchAll(10))).isEmpty() }
    }

    @Test
    fun `names a limited number of runs in one line of the event log`() {
        registerWorkers("w1", "w2")
        submit("a", tiny(400))
        dispatcher.dispatchDue(now)
        val lines = dispatcher.drain().filterIsInstance<DispatchEffect.LogEvent>().filter { it.event == DispatchEvent.RUNS_ASSIGNED }
        expectThat(lines).hasSize(1)
        expectThat(lines.single().detail.length).isLessThan(2_000)
    }

    @Test
    fun `stops a gang of which several members end, and starts it again as a whole`() {
        registerWorkers("w1", "w2", "w3")
        submit("g", step(6, gang = true))
        val started = startCalls(dispatchAll())
        started.forEach { reply(it, WorkerReply.Done(now)) }
        val ends = started.take(2).map { FlowFixture.end(it.run, RunOutcome.FAILED) }
        val command = FlowCommand.Ended(ends, now)
        dispatcher.commandApplied(command, state.apply(command), now)
        expectThat(dispatchAll().stops.map { it.run }.toSet()).isEqualTo(started.drop(2).map { it.run }.toSet())
    }

    private companion object {
        const val STEPS = 2_000
    }
}
