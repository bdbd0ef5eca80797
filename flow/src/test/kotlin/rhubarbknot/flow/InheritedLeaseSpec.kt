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
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("leases that an earlier leader granted")
class InheritedLeaseSpec : DispatcherTest() {
    // A task ran twice: the runs of a restarted worker that reported before the term counted as over while their lease lasted.
    @Test
    fun `are waited out from the start of the term, however long ago the worker reported`() {
        registerWorkers("w1")
        submit("a", step())
        val start = dispatchAll().starts.single()
        reply(start, WorkerReply.Done(now))
        dispatcher.workerReported(report("w1", born = 2), now)
        val reportedAt = now
        now += settings.reportTimeoutMillis
        val renewal = dispatchAll().renewals.first { it.worker.born == 2L }
        reply(renewal, runsReply(listOf(RunningRun(start.run, "")), born = 2, clock = settings.reportTimeoutMillis))
        dispatchAll(100)
        changeLeader()
        dispatcher.workerReported(report("w1", born = 2), reportedAt)
        registerWorkers("w2")
        val termStartedAt = now
        while (now - termStartedAt < settings.leaseMillis) {
            val calls = dispatchAll(500)
            expectThat(calls.starts).isEmpty()
            calls.forEach { reply(it, if (it.worker.id == "w1") WorkerReply.NoResponse else runsReply()) }
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
        }
        expectThat(state.runsOn(start.worker).values).hasSize(1)
    }

    // A task ran twice: the worker had executed a renewal of the new leader, whose answer was lost, and was cut off.
    @Test
    fun `are extended by renewals that the new leader sends before the first answer`() {
        registerWorkers("w1")
        submit("a", step())
        val start = dispatchAll().starts.single()
        reply(start, WorkerReply.Done(now))
        changeLeader()
        registerWorkers("w2")
        dispatchAll(REPORT_DELAY_MILLIS)
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
        val grantedAt = now
        while (now - grantedAt < settings.leaseMillis) {
            val calls = dispatchAll(500)
            expectThat(calls.starts).isEmpty()
            calls.forEach { reply(it, if (it.worker.id == "w1") WorkerReply.NoResponse else runsReply()) }
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
        }
        expectThat(dispatchAll(1_000).starts.map { it.worker.id }).isEqualTo(listOf("w2"))
    }

    // Each refused renewal counted as a longer lease, and the task of an unhealthy worker was never started again.
    @Test
    fun `are not extended by renewals that an unhealthy worker refuses`() {
        registerWorkers("w1")
        submit("a", step())
        reply(dispatchAll().starts.single(), WorkerReply.Done(now))
        changeLeader()
        registerWorkers("w2")
        val startedAt = now
        var starts = emptyList<WorkerCall.Start>()
        while (starts.isEmpty() && now - startedAt < 2 * settings.leaseMillis) {
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = now), now)
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
            val calls = dispatchAll(500)
            calls.forEach { reply(it, if (it.worker.id == "w1") WorkerReply.Refused(RefusalReason.UNHEALTHY, now) else runsReply()) }
            starts = calls.starts
        }
        expectThat(starts.map { it.worker.id }).isEqualTo(listOf("w2"))
    }

    private companion object {
        const val REPORT_DELAY_MILLIS = 1_400L
    }
}
