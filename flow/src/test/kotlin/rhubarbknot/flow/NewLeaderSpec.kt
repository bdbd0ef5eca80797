package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.pendingIn
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.FencingToken
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
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

    // A new leader took every inherited run for a started one, so that queues looked empty while their jobs waited.
    @Nested
    @DisplayName("when it counts pending jobs")
    inner class PendingJobs {
        /** Ends the runs of the silent worker w1, whose lease expires. */
        private fun loseWorker() {
            dispatchAll(settings.leaseMillis)
            dispatchAll(settings.leaseMillis)
        }

        @Test
        fun `counts a job of an earlier leader until a worker lists one of its runs`() {
            val start = startAndChangeLeader()
            expectThat(state.pendingIn("q")).isEqualTo(1)
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            reply(dispatchAll().renewals.single(), runsReply(running = listOf(RunningRun(start.run, ""))))
            dispatchAll(STARTED_JOBS_MILLIS)
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }

        @Test
        fun `counts a job whose worker was lost before it confirmed the start`() {
            startAndChangeLeader()
            loseWorker()
            expectThat(state.occupiedWorkers).isEmpty()
            expectThat(state.pendingIn("q")).isEqualTo(1)
        }

        @Test
        fun `does not count a started job whose worker and leader were lost`() {
            registerWorkers("w1")
            submit("a", step())
            reply(startCalls(dispatchAll()).single(), WorkerReply.Done(now))
            dispatchAll(STARTED_JOBS_MILLIS)
            changeLeader()
            loseWorker()
            expectThat(state.occupiedWorkers).isEmpty()
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }

        @Test
        fun `does not count a gang of which one member has started`() {
            registerWorkers("w1")
            submit("g", step(2, gang = true))
            reply(startCalls(dispatchAll()).first(), WorkerReply.Done(now))
            dispatchAll(STARTED_JOBS_MILLIS)
            changeLeader()
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }

        @Test
        fun `counts a job whose run has moved to the next incarnation of its worker without a start`() {
            startAndChangeLeader()
            dispatcher.workerReported(report("w1", born = 2, clockMillis = 0), now)
            reply(dispatchAll().renewals.last { it.worker.born == 2L }, runsReply(born = 2, clock = 0))
            dispatchAll(STARTED_JOBS_MILLIS)
            expectThat(state.pendingIn("q")).isEqualTo(1)
        }
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
