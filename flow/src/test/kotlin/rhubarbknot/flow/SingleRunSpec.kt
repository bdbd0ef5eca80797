package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.state.FlowCommand
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

@DisplayName("the dispatcher starts no second run of a task")
class SingleRunSpec : DispatcherTest() {
    private var reportCount = 0L

    private fun runs(vararg running: RunningRun) = WorkerReply.Runs(1, now, running.toList(), emptyList())

    private fun renewals(
        calls: List<WorkerCall>,
        worker: String,
    ) = calls.filterIsInstance<WorkerCall.Renew>().filter { it.worker.id == worker }

    private fun reportWorker(
        id: String,
        draining: Boolean = false,
    ) = dispatcher.workerReported(report(id, clockMillis = now, sequence = ++reportCount, draining = draining), now)

    /** Starts a run on w1, which confirms and lists it; w2 could take it too. */
    private fun startOnW1(): WorkerCall.Start {
        reportWorker("w1")
        renewals(dispatchAll(), "w1").forEach { reply(it, runs()) }
        val command = FlowCommand.Submit(request("a", step()), now)
        dispatcher.commandApplied(command, state.apply(command), now)
        val calls = dispatchAll()
        val start = startCalls(calls).single()
        reply(start, WorkerReply.Done(now))
        renewals(calls + dispatchAll(), "w1").forEach { reply(it, runs(RunningRun(start.run, ""))) }
        reportWorker("w2")
        val both = dispatchAll()
        renewals(both, "w2").forEach { reply(it, runs()) }
        renewals(both, "w1").forEach { reply(it, runs(RunningRun(start.run, ""))) }
        return start
    }

    /** Answers the calls to w1 with [answer] for [millis] and expects no start; w2 goes on reporting. */
    private fun expectNoStart(
        millis: Long,
        answer: WorkerReply,
    ) {
        val until = now + millis
        while (now < until) {
            val calls = dispatchAll(STEP_MILLIS)
            expectThat(startCalls(calls)).isEmpty()
            calls.filter { it.worker.id == "w1" }.forEach { reply(it, answer) }
            reportWorker("w2")
        }
    }

    @Nested
    @DisplayName("while a worker that has sent its leave message lives on")
    inner class LeavingWorkers {
        // A cut refused the connections to a worker that had announced its end, and its runs were started elsewhere beside it.
        @Test
        fun `and a cut refuses the connections to it`() {
            startOnW1()
            reportWorker("w1", draining = true)
            dispatcher.workerLeft("w1", now)
            expectNoStart(settings.leaseMillis, WorkerReply.ConnectionRefused)
        }

        // The answer to the leave message was lost, the worker went on for seconds, and one of its answers was late.
        @Test
        fun `and does not answer one call`() {
            startOnW1()
            reportWorker("w1", draining = true)
            dispatcher.workerLeft("w1", now)
            expectNoStart(settings.leaseMillis, WorkerReply.NoResponse)
        }
    }

    // The next leader acknowledged the end of a run that its predecessor had given up, and started the task all the same.
    @Test
    fun `when a run that was given up turns out to be done before the task was placed again`() {
        val start = startOnW1()
        state.apply(FlowCommand.Ended(listOf(FlowFixture.end(start.run, RunOutcome.LOST)), now))
        changeLeader()
        reportWorker("w1", draining = true)
        val done = NumberedRunEnd(1, FlowFixture.end(start.run))
        renewals(dispatchAll(), "w1").forEach { reply(it, WorkerReply.Runs(1, now, emptyList(), listOf(done))) }
        val acknowledgements = renewals(dispatchAll(), "w1").filter { it.lastSeen >= done.number }
        expectThat(acknowledgements).isNotEmpty()
        reportWorker("w2")
        renewals(dispatchAll(), "w2").forEach { reply(it, runs()) }
        expectThat(startCalls(dispatchAll(STEP_MILLIS))).isEmpty()
    }

    private companion object {
        const val STEP_MILLIS = 250L
    }
}
