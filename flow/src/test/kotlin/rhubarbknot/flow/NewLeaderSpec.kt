package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.FencingToken
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("the dispatcher, after a leader change")
class NewLeaderSpec : DispatcherTest() {
    private fun startAndChangeLeader(): WorkerCall.Start {
        registerWorkers("w1")
        submit("a", step())
        val start = startCalls(dispatchAll()).single()
        now += 1_000
        changeLeader()
        return start
    }

    @Test
    fun `restarts a run that its worker does not list after seeing the new fencing token`() {
        val start = startAndChangeLeader()
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
        reply(dispatchAll().filterIsInstance<WorkerCall.Renew>().single(), runsReply())
        val restarted = startCalls(dispatchAll(200)).single()
        expectThat(FencingToken.termOf(restarted.fencingToken)).isEqualTo(2)
        expectThat(restarted.run.number).isEqualTo(start.run.number + 1)
    }

    @Test
    fun `keeps a run that its worker lists`() {
        val start = startAndChangeLeader()
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
        reply(dispatchAll().filterIsInstance<WorkerCall.Renew>().single(), runsReply(running = listOf(RunningRun(start.run, "saved"))))
        expectThat(startCalls(dispatchAll(200))).isEmpty()
        expectThat(state.runsOn(start.worker).size).isEqualTo(1)
    }

    @Test
    fun `waits for the longest possible lease of an unreachable worker to expire`() {
        startAndChangeLeader()
        dispatcher.workerReported(report("w2", clockMillis = now), now)
        dispatchAll().filterIsInstance<WorkerCall.Renew>().filter { it.worker.id == "w2" }.forEach { reply(it, runsReply()) }
        expectThat(startCalls(dispatchAll(settings.leaseMillis))).isEmpty()
        dispatcher.workerReported(report("w2", clockMillis = now, sequence = 2), now)
        expectThat(startCalls(dispatchAll(settings.leaseMillis / 10)).single().worker.id).isEqualTo("w2")
    }

    @Test
    fun `stops runs that are not in the log`() {
        registerWorkers("w1")
        changeLeader()
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
        val unknownRun = FlowFixture.run("stray")
        reply(dispatchAll().filterIsInstance<WorkerCall.Renew>().single(), runsReply(running = listOf(RunningRun(unknownRun, ""))))
        expectThat(dispatchAll().filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(unknownRun)
    }
}
