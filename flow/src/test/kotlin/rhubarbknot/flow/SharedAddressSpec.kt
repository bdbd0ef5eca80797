package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("the dispatcher, when a report names the address of another worker")
class SharedAddressSpec : DispatcherTest() {
    private fun startOnW1(): WorkerCall.Start {
        registerWorkers("w1")
        submit("a", step())
        val start = startCalls(dispatchAll()).single()
        reply(start, WorkerReply.Done(now))
        registerWorkers("w2")
        return start
    }

    private fun probeOf(calls: List<WorkerCall>) =
        calls.filterIsInstance<WorkerCall.Renew>().first { it.worker.id == "w1" && it.deadlineMillis == null }

    private fun reportIntruder() = dispatcher.workerReported(report("x", born = 2, address = report("w1").address), now)

    // An entry of another writer at a worker's address had all its runs started again elsewhere while they went on.
    @Test
    fun `keeps the runs of a worker that still answers there`() {
        val start = startOnW1()
        reportIntruder()
        val calls = dispatchAll()
        expectThat(startCalls(calls)).isEmpty()
        reply(probeOf(calls), runsReply(listOf(RunningRun(start.run, ""))))
        expectThat(startCalls(dispatchAll())).isEmpty()
        expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
        expectThat(dispatcher.workerCounts(now).first).isEqualTo(2)
    }

    @Test
    fun `starts nothing more on it before it has answered`() {
        startOnW1()
        reportIntruder()
        submit("b", step(2))
        expectThat(startCalls(dispatchAll(200)).map { it.worker.id }.toSet()).isEqualTo(setOf("w2"))
    }

    @Test
    fun `starts its runs elsewhere once another worker answers there`() {
        val start = startOnW1()
        reportIntruder()
        reply(probeOf(dispatchAll()), WorkerReply.Refused(RefusalReason.OTHER_LIFE, null))
        val next = startCalls(dispatchAll()).single()
        expectThat(next.run.task).isEqualTo(start.run.task)
        expectThat(next.worker.id).isEqualTo("w2")
    }
}
