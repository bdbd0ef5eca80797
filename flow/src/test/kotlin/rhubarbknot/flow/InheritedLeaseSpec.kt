package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerReply
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("leases that an earlier leader granted")
class InheritedLeaseSpec {
    private val bed = DispatcherTestBed()

    // A task ran twice: the runs of a restarted worker that reported before the term counted as over while their lease lasted.
    @Test
    fun `are waited out from the start of the term, however long ago the worker reported`() {
        bed.registerWorkers("w1")
        bed.submit("a", step())
        val start = bed.dispatchAll().starts.single()
        bed.reply(start, WorkerReply.Done(bed.now))
        bed.dispatcher.workerReported(report("w1", born = 2), bed.now)
        val reportedAt = bed.now
        bed.now += bed.settings.reportTimeoutMillis
        val renewal = bed.dispatchAll().renewals.first { it.worker.born == 2L }
        bed.reply(renewal, bed.runsReply(listOf(RunningRun(start.run, "")), born = 2, clock = bed.settings.reportTimeoutMillis))
        bed.dispatchAll(100)
        bed.changeLeader()
        bed.dispatcher.workerReported(report("w1", born = 2), reportedAt)
        bed.registerWorkers("w2")
        val termStartedAt = bed.now
        while (bed.now - termStartedAt < bed.settings.leaseMillis) {
            val calls = bed.dispatchAll(500)
            expectThat(calls.starts).isEmpty()
            calls.forEach { bed.reply(it, if (it.worker.id == "w1") WorkerReply.NoResponse else bed.runsReply()) }
            bed.dispatcher.workerReported(report("w2", clockMillis = bed.now, sequence = bed.now), bed.now)
        }
        expectThat(bed.state.runsOn(start.worker).values).hasSize(1)
    }

    // A task ran twice: the worker had executed a renewal of the new leader, whose answer was lost, and was cut off.
    @Test
    fun `are extended by renewals that the new leader sends before the first answer`() {
        bed.registerWorkers("w1")
        bed.submit("a", step())
        val start = bed.dispatchAll().starts.single()
        bed.reply(start, WorkerReply.Done(bed.now))
        bed.changeLeader()
        bed.registerWorkers("w2")
        bed.dispatchAll(REPORT_DELAY_MILLIS)
        bed.dispatcher.workerReported(report("w1", clockMillis = bed.now, sequence = 2), bed.now)
        val grantedAt = bed.now
        while (bed.now - grantedAt < bed.settings.leaseMillis) {
            val calls = bed.dispatchAll(500)
            expectThat(calls.starts).isEmpty()
            calls.forEach { bed.reply(it, if (it.worker.id == "w1") WorkerReply.NoResponse else bed.runsReply()) }
            bed.dispatcher.workerReported(report("w2", clockMillis = bed.now, sequence = bed.now), bed.now)
        }
        expectThat(bed.dispatchAll(1_000).starts.map { it.worker.id }).isEqualTo(listOf("w2"))
    }

    private companion object {
        const val REPORT_DELAY_MILLIS = 1_400L
    }
}
