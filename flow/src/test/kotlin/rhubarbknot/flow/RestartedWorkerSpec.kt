package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.FencingToken
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty

@DisplayName("a worker that starts again under its id")
class RestartedWorkerSpec {
    private val bed = DispatcherTestBed()

    private fun startOnW1(): WorkerCall.Start {
        bed.registerWorkers("w1")
        bed.submit("a", step())
        return bed.dispatchAll().starts.single()
    }

    /** Restarts w1 and returns the first renewal that the new incarnation gets. */
    private fun restart(): WorkerCall.Renew {
        bed.dispatcher.workerReported(report("w1", born = 2), bed.now)
        return bed.dispatchAll(100).renewals.first { it.worker.born == 2L }
    }

    // A late acknowledgement discarded an end that was never seen, and the task ran again; a late start ran a task twice.
    @Test
    fun `gets a higher fencing token than every call to its earlier incarnation, so that it refuses late ones`() {
        val start = startOnW1()
        bed.reply(start, WorkerReply.Done(bed.now))
        bed.reply(bed.lastRenewal("w1"), bed.runsReply(ended = listOf(NumberedRunEnd(1, end(start.run)))))
        bed.dispatchAll()
        val latest = bed.sent.maxOf { it.fencingToken }
        restart()
        val calls = bed.sent.filter { it.worker.born == 2L }
        expectThat(calls).isNotEmpty().all { get { fencingToken }.isGreaterThan(latest) }
        expectThat(calls.map { FencingToken.termOf(it.fencingToken) }.toSet()).isEqualTo(setOf(1L))
    }

    @Test
    fun `gets lower fencing tokens than those of the next leader`() {
        startOnW1()
        restart()
        val latest = bed.sent.maxOf { it.fencingToken }
        bed.changeLeader()
        bed.dispatcher.workerReported(report("w1", born = 2, sequence = 2), bed.now)
        expectThat(bed.dispatchAll(100).first().fencingToken).isGreaterThan(latest)
    }
}
