package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.JobPhase
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("the leader's dealings with workers")
class DispatcherSpec {
    private val settings = DispatchSettings()
    private val state = FlowState().also { it.apply(FlowCommand.Configure(FlowFixture.configuration())) }
    private var now = 100_000L
    private var dispatcher = Dispatcher(state, settings, term = 1, startedAt = now)

    private fun pump(laterMillis: Long = 0): List<WorkerCall> {
        now += laterMillis
        val calls = ArrayList<WorkerCall>()
        // What is proposed is committed at once; calls come out until nothing more is due.
        repeat(ROUNDS) {
            dispatcher.dispatchDue(now)
            dispatcher.drain().forEach { effect ->
                when (effect) {
                    is DispatchEffect.Propose -> dispatcher.commandApplied(effect.command, state.apply(effect.command), now)
                    is DispatchEffect.Call -> calls += effect.call
                    else -> Unit
                }
            }
        }
        return calls
    }

    private fun reply(
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long = now,
    ) = dispatcher.workerReplied(call, reply, sentAt, now)

    private fun runs(
        running: List<RunningRun> = emptyList(),
        ended: List<NumberedRunEnd> = emptyList(),
        born: Long = 1,
        clock: Long = now,
    ) = WorkerReply.Runs(born, clock, running, ended)

    /** Makes [ids] known, and shows them the fencing token. */
    private fun workers(vararg ids: String) {
        ids.forEach { dispatcher.workerReported(report(it, clockMillis = now), now) }
        pump().filterIsInstance<WorkerCall.Renew>().forEach { reply(it, runs()) }
    }

    private fun submit(
        id: String,
        vararg steps: rhubarbknot.flow.model.StepSpec,
    ) {
        val command = FlowCommand.Submit(request(id, *steps), now)
        dispatcher.commandApplied(command, state.apply(command), now)
    }

    private fun starts(calls: List<WorkerCall>) = calls.filterIsInstance<WorkerCall.Start>()

    @Test
    fun `starts nothing on a worker before it has seen the fencing token`() {
        submit("a", step())
        dispatcher.workerReported(report("w1", clockMillis = now), now)
        val calls = pump()
        expectThat(starts(calls)).isEmpty()
        reply(calls.filterIsInstance<WorkerCall.Renew>().single(), runs())
        expectThat(starts(pump())).hasSize(1)
    }

    @Test
    fun `counts runs that are not committed yet against a spread limit`() {
        workers("w1", "w2")
        submit("a", step(5, spreadLimit = 2))
        dispatcher.dispatchDue(now)
        val first = dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        dispatcher.dispatchDue(now + 200)
        val second = dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        val placed = (first + second).flatMap { (it.command as FlowCommand.Assign).runs }.groupingBy { it.worker.id }.eachCount()
        expectThat(placed.values).all { isLessThanOrEqualTo(2) }
    }

    @Test
    fun `never brings a team over its ceiling or a worker over its room`() {
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 2, ceiling = Resources(milliCpus = 5_000))))
        workers("w1", "w2")
        submit("a", step(9))
        val starts = starts(pump())
        expectThat(starts).hasSize(5)
        expectThat(starts.groupBy { it.worker }.values).all { get { size }.isLessThanOrEqualTo(4) }
    }

    @Test
    fun `starts a gang whole or not at all`() {
        workers("w1")
        submit("g", step(5, gang = true))
        expectThat(starts(pump())).isEmpty()
        workers("w2")
        val starts = starts(pump(200))
        expectThat(starts).hasSize(5)
        expectThat(starts.map { it.run.number }.toSet()).isEqualTo(setOf(1))
    }

    @Test
    fun `starts nothing on a draining worker, in a drained zone, or on one that left`() {
        workers("w1", "w2", "w3")
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2, draining = true), now)
        dispatcher.workerLeft("w2", now)
        state.apply(FlowCommand.SetZone("z1", drained = true))
        submit("a", step())
        expectThat(starts(pump())).isEmpty()
        state.apply(FlowCommand.SetZone("z1", drained = false))
        expectThat(starts(pump(200)).single().worker.id).isEqualTo("w3")
    }

    @Nested
    @DisplayName("about a start")
    inner class Starting {
        private var sent = emptyList<WorkerCall>()

        private fun started(): WorkerCall.Start {
            workers("w1", "w2")
            submit("a", step())
            sent = pump()
            return starts(sent).single()
        }

        @Test
        fun `gives a run to another worker at once when its start was never sent`() {
            val start = started()
            reply(start, WorkerReply.NotSent)
            val next = starts(pump(300)).single()
            expectThat(next.worker).isNotEqualTo(start.worker)
            expectThat(next.run.number).isEqualTo(2)
        }

        @Test
        fun `asks an idle worker again after a lost call, and gives it work once it answers`() {
            workers("w1")
            submit("a", step())
            pump().forEach { reply(it, WorkerReply.NotSent) }
            pump()
            val asked = pump(300).filterIsInstance<WorkerCall.Renew>().first { it.worker.id == "w1" }
            reply(asked, runs())
            expectThat(starts(pump(300)).single().worker.id).isEqualTo("w1")
        }

        @Test
        fun `repeats the same run while the outcome is unknown, and never in a tight loop`() {
            val start = started()
            reply(start, WorkerReply.NoResponse)
            expectThat(starts(pump())).isEmpty()
            val again = starts(pump(50)).single()
            expectThat(again.run).isEqualTo(start.run)
            expectThat(again.worker).isEqualTo(start.worker)
        }

        @Test
        fun `does not move the deadline on while no answer comes, and waits it out before it starts elsewhere`() {
            val start = started()
            reply(start, WorkerReply.NoResponse)
            var last = start
            var waited = 0L
            while (waited < settings.leaseMillis) {
                pump(500).forEach { call ->
                    if (call is WorkerCall.Start && call.worker == start.worker) last = call
                    if (call.worker == start.worker) reply(call, WorkerReply.NoResponse)
                }
                waited += 500
                expectThat(last.deadlineMillis).isEqualTo(start.deadlineMillis)
                expectThat(last.run).isEqualTo(start.run)
            }
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = 9), now)
            val elsewhere = starts(pump(500)).filter { it.worker != start.worker }
            expectThat(elsewhere).hasSize(1)
        }

        @Test
        fun `stops a run that was refused after an answer was lost, before it tries again`() {
            val start = started()
            reply(start, WorkerReply.NoResponse)
            val again = starts(pump(50)).single()
            reply(again, WorkerReply.Refused(RefusalReason.UNHEALTHY, now))
            val calls = pump(300)
            expectThat(starts(calls)).isEmpty()
            expectThat(calls.filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(start.run)
        }

        /** The worker of [start] starts anew under its old id, and lists [running] when it is asked. */
        private fun bornAnew(
            start: WorkerCall.Start,
            running: List<RunningRun>,
        ): List<WorkerCall> {
            dispatcher.workerReported(report(start.worker.id, born = 2, clockMillis = 0), now)
            val asked = pump(100).filterIsInstance<WorkerCall.Renew>().single { it.worker.born == 2L }
            reply(asked, runs(running, born = 2, clock = 100))
            return pump(100)
        }

        @Test
        fun `takes a run as lost when its worker was born anew and does not list it`() {
            val start = started()
            reply(start, WorkerReply.Done(now))
            val again = starts(bornAnew(start, emptyList())).single()
            expectThat(again.run.number).isEqualTo(2)
            expectThat(again.worker).isNotEqualTo(start.worker)
        }

        @Test
        fun `stops a run that came to the next life of its worker, before it starts elsewhere`() {
            val start = started()
            val calls = bornAnew(start, listOf(RunningRun(start.run, "")))
            expectThat(starts(calls)).isEmpty()
            expectThat(calls.filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(start.run)
        }

        @Test
        fun `keeps a run that its worker listed, whatever it then says to a repeated start`() {
            val start = started()
            reply(start, WorkerReply.NoResponse)
            val again = starts(pump(50)).single()
            val renewal = sent.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runs(running = listOf(RunningRun(start.run, ""))))
            reply(again, WorkerReply.Refused(RefusalReason.TICKET, now))
            expectThat(starts(pump(300))).isEmpty()
            expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
        }

        @Test
        fun `does not start a run again whose stop was acknowledged`() {
            val start = started()
            reply(start, WorkerReply.NoResponse)
            val again = starts(pump(50)).single()
            reply(again, WorkerReply.Refused(RefusalReason.TICKET, now))
            val stop = pump(300).filterIsInstance<WorkerCall.Stop>().single()
            reply(stop, WorkerReply.Refused(RefusalReason.OLD_RUN, now))
            expectThat(starts(pump(300))).isEmpty()
        }

        @Test
        fun `acknowledges an end only once the log holds it`() {
            val start = started()
            reply(start, WorkerReply.Done(now))
            val renewal = sent.filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }
            reply(renewal, runs(ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatcher.dispatchDue(now)
            val effects = dispatcher.drain()
            expectThat(effects.filterIsInstance<DispatchEffect.Call>().map { it.call }.filter { it.worker == start.worker }).isEmpty()
            val ended = effects.filterIsInstance<DispatchEffect.Propose>().single().command
            dispatcher.commandApplied(ended, state.apply(ended), now)
            expectThat(pump(10).filterIsInstance<WorkerCall.Renew>().single { it.worker == start.worker }.lastSeen).isEqualTo(1)
            expectThat(state.job("a")?.phase).isEqualTo(JobPhase.COMPLETED)
        }
    }

    @Nested
    @DisplayName("after a change of leader")
    inner class NewLeader {
        private fun successor(): WorkerCall.Start {
            workers("w1")
            submit("a", step())
            val start = starts(pump()).single()
            now += 1_000
            dispatcher = Dispatcher(state, settings, term = 2, startedAt = now)
            return start
        }

        @Test
        fun `gives back a run that its worker does not know once it has seen the new token`() {
            val start = successor()
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            reply(pump().filterIsInstance<WorkerCall.Renew>().single(), runs())
            val again = starts(pump(200)).single()
            expectThat(again.fencingToken).isEqualTo(2)
            expectThat(again.run.number).isEqualTo(start.run.number + 1)
        }

        @Test
        fun `keeps a run that its worker lists`() {
            val start = successor()
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            reply(pump().filterIsInstance<WorkerCall.Renew>().single(), runs(running = listOf(RunningRun(start.run, "saved"))))
            expectThat(starts(pump(200))).isEmpty()
            expectThat(state.runsOn(start.worker).size).isEqualTo(1)
        }

        @Test
        fun `waits out the longest lease of a worker that it can't ask`() {
            successor()
            dispatcher.workerReported(report("w2", clockMillis = now), now)
            pump().filterIsInstance<WorkerCall.Renew>().filter { it.worker.id == "w2" }.forEach { reply(it, runs()) }
            expectThat(starts(pump(settings.leaseMillis))).isEmpty()
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = 2), now)
            expectThat(starts(pump(settings.leaseMillis / 10)).single().worker.id).isEqualTo("w2")
        }

        @Test
        fun `stops what runs without being in the log`() {
            workers("w1")
            dispatcher = Dispatcher(state, settings, term = 2, startedAt = now)
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            val stray = FlowFixture.run("stray")
            reply(pump().filterIsInstance<WorkerCall.Renew>().single(), runs(running = listOf(RunningRun(stray, ""))))
            expectThat(pump().filterIsInstance<WorkerCall.Stop>().single().run).isEqualTo(stray)
        }
    }

    @Test
    fun `stops the runs of a cancelled job, and frees their room only when the stop is surely over`() {
        workers("w1")
        submit("a", step(4))
        val started = starts(pump())
        started.forEach { reply(it, WorkerReply.Done(now)) }
        val cancel = FlowCommand.Cancel("a", now)
        dispatcher.commandApplied(cancel, state.apply(cancel), now)
        val stops = pump().filterIsInstance<WorkerCall.Stop>()
        expectThat(stops).hasSize(4)
        stops.forEach { reply(it, WorkerReply.Done(now)) }
        submit("b", step())
        expectThat(starts(pump(100))).isEmpty()
        expectThat(state.runsOn(started.first().worker).size).isEqualTo(4)
    }

    private companion object {
        const val ROUNDS = 4
    }
}
