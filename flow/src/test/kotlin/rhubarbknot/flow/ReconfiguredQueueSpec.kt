package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.run
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Pool
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.Team
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.JobPhase
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards against accepted jobs that stand still, or lose their limits, because a configuration names their queue or team no more. */
@DisplayName("an accepted job, when the configuration changes")
class ReconfiguredQueueSpec : DispatcherTest() {
    private var version = 1L
    private var lastEndNumber = 0L
    private val queue = checkNotNull(state.configuration).queues.single()

    private fun configure(change: Configuration.() -> Configuration) {
        val command = FlowCommand.Configure(checkNotNull(state.configuration).change().copy(version = ++version))
        dispatcher.commandApplied(command, state.apply(command), now)
    }

    private fun accept(
        id: String,
        at: Queue = queue,
    ) {
        val command = FlowCommand.Submit(request(id, step(), step(after = listOf(0))).copy(queue = at.name), now, at)
        dispatcher.commandApplied(command, state.apply(command), now)
    }

    /** Ends the first step of [id]; returns the starts that follow. */
    private fun endFirstStep(start: WorkerCall.Start): List<WorkerCall.Start> {
        reply(start, WorkerReply.Done(now))
        val renewal = WorkerCall.Renew(start.worker, start.address, 1, 0, null, 0)
        reply(renewal, runsReply(ended = listOf(NumberedRunEnd(++lastEndNumber, end(start.run)))))
        return startCalls(dispatchAll(200))
    }

    private fun registerInPool(
        id: String,
        pool: String,
    ) {
        dispatcher.workerReported(report(id, clockMillis = now).copy(pool = pool), now)
        dispatchAll().renewals.filter { it.worker.id == id }.forEach { reply(it, runsReply()) }
    }

    @Nested
    @DisplayName("runs on")
    inner class RunsOn {
        private fun startsSecondStepAfter(change: Configuration.() -> Configuration) {
            registerWorkers("w1")
            accept("a")
            val first = startCalls(dispatchAll()).single()
            configure(change)
            expectThat(endFirstStep(first).map { it.run.task.step }).isEqualTo(listOf(1))
        }

        @Test
        fun `under another name of its queue`() = startsSecondStepAfter { copy(queues = listOf(queue.copy(name = "renamed"))) }

        @Test
        fun `at another place of its queue`() =
            startsSecondStepAfter { copy(queues = listOf(queue.copy(host = "h2", pathPrefix = "/new/"))) }

        @Test
        fun `without its queue`() = startsSecondStepAfter { copy(queues = emptyList()) }

        @Test
        fun `without its pool and its team, under the next leader`() {
            registerWorkers("w1")
            accept("a")
            expectThat(startCalls(dispatchAll())).hasSize(1)
            configure { copy(queues = emptyList(), pools = emptyList(), teams = emptyList()) }
            state.restore(state.snapshot())
            changeLeader()
            registerWorkers("w1")
            expectThat(state.needsPool("pool")).isTrue()
            // The worker does not list the run of the first step, so it is started again.
            expectThat(startCalls(dispatchAll(200)).map { it.run.number }).isEqualTo(listOf(2))
        }

        @Test
        fun `in its own pool when a later queue of its name belongs to another one`() {
            registerWorkers("w1")
            registerInPool("w2", "pool-2")
            configure { copy(pools = pools + Pool("pool-2")) }
            accept("a")
            val first = startCalls(dispatchAll()).single()
            configure { copy(queues = emptyList()) }
            configure { copy(queues = listOf(queue.copy(pool = "pool-2"))) }
            accept("b", queue.copy(pool = "pool-2"))
            val next = endFirstStep(first).associate { it.run.task.job to it.worker.id }
            expectThat(next).isEqualTo(mapOf("a" to "w1", "b" to "w2"))
        }

        @Test
        fun `in the new pool when its queue is given another one`() {
            registerWorkers("w1")
            registerInPool("w2", "pool-2")
            accept("a")
            val first = startCalls(dispatchAll()).single()
            configure { copy(pools = pools + Pool("pool-2"), queues = listOf(queue.copy(pool = "pool-2"))) }
            expectThat(endFirstStep(first).single().worker.id).isEqualTo("w2")
        }
    }

    @Nested
    @DisplayName("keeps its limits")
    inner class Limits {
        @Test
        fun `of attempts without its queue`() {
            accept("a")
            configure { copy(queues = emptyList()) }
            (1..2).forEach { number ->
                state.apply(FlowCommand.Assign(listOf(Assignment(run("a", number = number), WorkerIncarnation("w1", 1)))))
                state.apply(FlowCommand.Ended(listOf(end(run("a", number = number), RunOutcome.FAILED)), 5))
            }
            expectThat(state.job("a")?.phase).isEqualTo(JobPhase.FAILED)
        }

        private fun startedOf(count: Int): Int {
            registerWorkers("w1", "w2")
            submit("a", step(count))
            configure { copy(teams = emptyList()) }
            state.restore(state.snapshot())
            return startCalls(dispatchAll(200)).size
        }

        @Test
        fun `of its team's ceiling without its team`() {
            configure { copy(teams = listOf(Team("team", listOf("key"), ceiling = Resources(milliCpus = 3_000)))) }
            expectThat(startedOf(8)).isEqualTo(3)
            expectThat(state.team("team")?.keys.orEmpty()).isEmpty()
            configure { copy(teams = listOf(Team("team", listOf("key"), ceiling = Resources(milliCpus = 5_000)))) }
            expectThat(startCalls(dispatchAll(200))).hasSize(2)
        }
    }

    @Nested
    @DisplayName("counts as pending")
    inner class Pending {
        private fun pendingAt(queue: Queue) = state.pending(queue)

        @Test
        fun `at its place, whatever its queue is called`() {
            accept("a")
            val renamed = queue.copy(name = "renamed")
            configure { copy(queues = listOf(renamed)) }
            expectThat(pendingAt(renamed)).isEqualTo(1)
            accept("b", renamed)
            expectThat(pendingAt(renamed)).isEqualTo(2)
            state.restore(state.snapshot())
            expectThat(pendingAt(renamed)).isEqualTo(2)
        }

        @Test
        fun `at the new place of its queue`() {
            accept("a")
            val moved = queue.copy(pathPrefix = "/moved/")
            configure { copy(queues = listOf(moved, queue.copy(name = "other", pool = "pool-2"))) }
            expectThat(pendingAt(moved)).isEqualTo(1)
            expectThat(pendingAt(queue.copy(name = "other", pool = "pool-2"))).isEqualTo(0)
        }

        @Test
        fun `at its place when its queue was removed and put back`() {
            accept("a")
            configure { copy(queues = emptyList()) }
            configure { copy(queues = listOf(queue)) }
            expectThat(pendingAt(queue)).isEqualTo(1)
        }
    }

    @Test
    fun `is forgotten with its queue and pool once it is over`() {
        accept("a")
        configure { copy(queues = emptyList()) }
        state.apply(FlowCommand.Cancel("a", 5))
        expectThat(state.needsPool("pool")).isFalse()
        expectThat(state.pending(queue)).isEqualTo(0)
    }
}
