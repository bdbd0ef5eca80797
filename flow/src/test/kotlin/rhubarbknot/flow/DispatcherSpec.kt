package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.pendingIn
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.JobPhase
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("the dispatcher")
class DispatcherSpec : DispatcherTest() {
    @Test
    fun `starts no run on a worker that has not seen the fencing token`() {
        submit("a", step())
        dispatcher.workerReported(report("w1", clockMillis = now), now)
        val calls = dispatchAll()
        expectThat(startCalls(calls)).isEmpty()
        reply(calls.filterIsInstance<WorkerCall.Renew>().single(), runsReply())
        expectThat(startCalls(dispatchAll())).hasSize(1)
    }

    @Test
    fun `counts uncommitted runs against the spread limit`() {
        registerWorkers("w1", "w2")
        submit("a", step(5, spreadLimit = 2))
        dispatcher.dispatchDue(now)
        val first = dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        dispatcher.dispatchDue(now + 200)
        val second = dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        val placed = (first + second).flatMap { (it.command as FlowCommand.Assign).runs }.groupingBy { it.worker.id }.eachCount()
        expectThat(placed.values).all { isLessThanOrEqualTo(2) }
    }

    @Test
    fun `never exceeds the ceiling of a team or the capacity of a worker`() {
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 2, ceiling = Resources(milliCpus = 5_000))))
        registerWorkers("w1", "w2")
        submit("a", step(9))
        val started = startCalls(dispatchAll())
        expectThat(started).hasSize(5)
        expectThat(started.groupBy { it.worker }.values).all { get { size }.isLessThanOrEqualTo(4) }
    }

    @Test
    fun `starts all tasks of a gang or none`() {
        registerWorkers("w1")
        submit("g", step(5, gang = true))
        expectThat(startCalls(dispatchAll())).isEmpty()
        registerWorkers("w2")
        val started = startCalls(dispatchAll(200))
        expectThat(started).hasSize(5)
        expectThat(started.map { it.run.number }.toSet()).isEqualTo(setOf(1))
    }

    @Test
    fun `starts a gang again on the worker on which it failed when the others can not hold it`() {
        registerWorkers("w1", "w2", "w3")
        submit("g", step(3, gang = true, spreadLimit = 1))
        val started = startCalls(dispatchAll())
        expectThat(started).hasSize(3)
        started.forEach { start ->
            reply(start, WorkerReply.Done(now))
            val outcome = if (start.run.task.index == 0) RunOutcome.FAILED else RunOutcome.GANG_BROKEN
            val renewal = WorkerCall.Renew(start.worker, start.address, 1, 0, null, 0)
            reply(renewal, runsReply(ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run, outcome)))))
        }
        dispatchAll()
        now += 3_000
        listOf("w1", "w2", "w3").forEach { dispatcher.workerReported(report(it, clockMillis = now, sequence = 2), now) }
        expectThat(startCalls(dispatchAll()).map { it.run.number }).isEqualTo(listOf(2, 2, 2))
    }

    @Test
    fun `starts no run on draining or leaving workers or in a drained zone`() {
        registerWorkers("w1", "w2", "w3")
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2, draining = true), now)
        dispatcher.workerLeft("w2", now)
        state.apply(FlowCommand.SetZone("z1", drained = true))
        submit("a", step())
        expectThat(startCalls(dispatchAll())).isEmpty()
        state.apply(FlowCommand.SetZone("z1", drained = false))
        expectThat(startCalls(dispatchAll(200)).single().worker.id).isEqualTo("w3")
    }

    @Nested
    @DisplayName("when it starts a run")
    inner class StartCalls {
        private var sentCalls = emptyList<WorkerCall>()

        private fun submitAndStart(): WorkerCall.Start {
            registerWorkers("w1", "w2")
            submit("a", step())
            sentCalls = dispatchAll()
            return startCalls(sentCalls).single()
        }

        @Test
        fun `places a task on another worker immediately when the start was never sent`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NotSent)
            val next = startCalls(dispatchAll(300)).single()
            expectThat(next.worker).isNotEqualTo(start.worker)
            expectThat(next.run.number).isEqualTo(2)
        }

        // Jobs that waited for a silent worker were missing from the count of pending jobs.
        @Test
        fun `counts a job as pending until a worker has confirmed one of its runs`() {
            val start = submitAndStart()
            expectThat(state.pendingIn("q")).isEqualTo(1)
            expectThat(state.pendingIn("other")).isEqualTo(0)
            reply(start, WorkerReply.NotSent)
            val next = startCalls(dispatchAll(300)).single()
            expectThat(state.pendingIn("q")).isEqualTo(1)
            reply(next, WorkerReply.Done(now))
            dispatchAll(STARTED_JOBS_MILLIS)
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }

        @Test
        fun `retries an idle worker after a lost call and starts runs on it once it responds`() {
            registerWorkers("w1")
            submit("a", step())
            dispatchAll().forEach { reply(it, WorkerReply.NotSent) }
            dispatchAll()
            val renewal = dispatchAll(300).filterIsInstance<WorkerCall.Renew>().first { it.worker.id == "w1" }
            reply(renewal, runsReply())
            expectThat(startCalls(dispatchAll(300)).single().worker.id).isEqualTo("w1")
        }

        @Test
        fun `retries the same run after a delay while the outcome is unknown`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            expectThat(startCalls(dispatchAll())).isEmpty()
            val retried = startCalls(dispatchAll(50)).single()
            expectThat(retried.run).isEqualTo(start.run)
            expectThat(retried.worker).isEqualTo(start.worker)
        }

        @Test
        fun `keeps the lease deadline while calls are unanswered and starts elsewhere only after it expires`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            var last = start
            var waited = 0L
            while (waited < settings.leaseMillis) {
                dispatchAll(500).forEach { call ->
                    if (call is WorkerCall.Start && call.worker == start.worker) last = call
                    if (call.worker == start.worker) reply(call, WorkerReply.NoResponse)
                }
                waited += 500
                expectThat(last.deadlineMillis).isEqualTo(start.deadlineMillis)
                expectThat(last.run).isEqualTo(start.run)
            }
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = 9), now)
            val startsElsewhere = startCalls(dispatchAll(500)).filter { it.worker != start.worker }
            expectThat(startsElsewhere).hasSize(1)
        }

        @Test
        fun `stops a run whose repeated start was refused before placing the task again`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            val retried = startCalls(dispatchAll(50)).single()
            reply(retried, WorkerReply.Refused(RefusalReason.UNHEALTHY, now))
            val calls = dispatchAll(300)
            expectThat(startCalls(calls)).isEmpty()
            expectThat(calls.filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(start.run)
        }

        /** Restarts the worker of [start] under the same id; the new incarnation lists [running]. */
        private fun restartWorker(
            start: WorkerCall.Start,
            running: List<RunningRun>,
        ): List<WorkerCall> {
            dispatcher.workerReported(report(start.worker.id, born = 2, clockMillis = 0), now)
            val renewal = dispatchAll(100).filterIsInstance<WorkerCall.Renew>().single { it.worker.born == 2L }
            reply(renewal, runsReply(running, born = 2, clock = 100))
            return dispatchAll(100)
        }

        @Test
        fun `treats a run as lost when its restarted worker does not list it`() {
            val start = submitAndStart()
            reply(start, WorkerReply.Done(now))
            val restarted = startCalls(restartWorker(start, emptyList())).single()
            expectThat(restarted.run.number).isEqualTo(2)
            expectThat(restarted.worker).isNotEqualTo(start.worker)
        }

        @Test
        fun `stops a run that reached the next incarnation of its worker before starting it elsewhere`() {
            val start = submitAndStart()
            val calls = restartWorker(start, listOf(RunningRun(start.run, "")))
            expectThat(startCalls(calls)).isEmpty()
            expectThat(calls.filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(start.run)
        }

        @Test
        fun `keeps a run that its worker listed even if a repeated start is refused`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            val retried = startCalls(dispatchAll(50)).single()
            val renewal = sentCalls.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runsReply(running = listOf(RunningRun(start.run, ""))))
            reply(retried, WorkerReply.Refused(RefusalReason.TICKET, now))
            expectThat(startCalls(dispatchAll(300))).isEmpty()
            expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
        }

        @Test
        fun `does not restart a run whose stop was acknowledged`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            val retried = startCalls(dispatchAll(50)).single()
            reply(retried, WorkerReply.Refused(RefusalReason.TICKET, now))
            val stop = dispatchAll(300).filterIsInstance<WorkerCall.Stop>().single()
            reply(stop, WorkerReply.Refused(RefusalReason.OLD_RUN, now))
            expectThat(startCalls(dispatchAll(300))).isEmpty()
        }

        // The answer to a stop was lost; its run, in neither list while it was stopping, ran on beside the next one.
        @Test
        fun `gives a run that is listed nowhere the time of a stop whose answer was lost`() {
            val start = submitAndStart()
            reply(start, WorkerReply.NoResponse)
            val retried = startCalls(dispatchAll(50)).single()
            reply(retried, WorkerReply.Refused(RefusalReason.TICKET, now))
            val renewal = sentCalls.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runsReply(running = listOf(RunningRun(start.run, ""))))
            val calls = dispatchAll(300)
            val stop = calls.filterIsInstance<WorkerCall.Stop>().single()
            val stoppedAt = now
            var pending = calls
            while (now - stoppedAt < settings.stopMillis) {
                now += 100
                pending.filterIsInstance<WorkerCall.Stop>().filter { it === stop }.forEach { reply(it, WorkerReply.NoResponse) }
                pending.filterIsInstance<WorkerCall.Renew>().filter { it.worker == start.worker }.forEach { reply(it, runsReply()) }
                pending = dispatchAll()
                expectThat(startCalls(pending)).isEmpty()
            }
        }

        @Test
        fun `acknowledges an end only after it is committed`() {
            val start = submitAndStart()
            reply(start, WorkerReply.Done(now))
            val renewal = sentCalls.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runsReply(ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatcher.dispatchDue(now)
            val effects = dispatcher.drain()
            expectThat(effects.filterIsInstance<DispatchEffect.Call>().map { it.call }.filter { it.worker == start.worker }).isEmpty()
            val ended = effects.filterIsInstance<DispatchEffect.Propose>().single().command
            dispatcher.commandApplied(ended, state.apply(ended), now)
            expectThat(dispatchAll(10).filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }.lastSeen).isEqualTo(1)
            expectThat(state.job("a")?.phase).isEqualTo(JobPhase.COMPLETED)
        }

        // A worker that restarted under its id dropped an end that was never seen, and the task ran again.
        @Test
        fun `acknowledges no end when the worker may have restarted since it listed its runs`() {
            val start = submitAndStart()
            reply(start, WorkerReply.Done(now))
            val renewal = sentCalls.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runsReply(ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatcher.dispatchDue(now)
            val ended =
                dispatcher
                    .drain()
                    .filterIsInstance<DispatchEffect.Propose>()
                    .single()
                    .command
            now += FASTEST_RESTART_MILLIS
            dispatcher.commandApplied(ended, state.apply(ended), now)
            expectThat(dispatchAll().filterIsInstance<WorkerCall.Renew>().first { it.worker == start.worker }.lastSeen).isEqualTo(0)
        }
    }

    @Test
    fun `stops the runs of a cancelled job and frees their resources only after the stop has completed`() {
        registerWorkers("w1")
        submit("a", step(4))
        val started = startCalls(dispatchAll())
        started.forEach { reply(it, WorkerReply.Done(now)) }
        val cancel = FlowCommand.Cancel("a", now)
        dispatcher.commandApplied(cancel, state.apply(cancel), now)
        val stopCalls = dispatchAll().filterIsInstance<WorkerCall.Stop>()
        expectThat(stopCalls).hasSize(4)
        stopCalls.forEach { reply(it, WorkerReply.Done(now)) }
        submit("b", step())
        expectThat(startCalls(dispatchAll(100))).isEmpty()
        expectThat(state.runsOn(started.first().worker).size).isEqualTo(4)
    }

    private companion object {
        /** The shortest time in which a worker of the simulation restarts, in milliseconds. */
        const val FASTEST_RESTART_MILLIS = 200L
    }
}
