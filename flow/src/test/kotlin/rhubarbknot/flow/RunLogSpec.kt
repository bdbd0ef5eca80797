package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchEvent
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.EventVolume
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** The lines from which the leader's log alone tells why a task was started again, and what the leader knew at that time. */
@DisplayName("the dispatcher's log of runs and workers")
class RunLogSpec {
    private val settings = DispatchSettings()
    private val state = FlowState().also { it.apply(FlowCommand.Configure(FlowFixture.configuration())) }
    private var now = 100_000L
    private var dispatcher = Dispatcher(state, settings, term = 1, startedAt = now)
    private val lines = ArrayList<DispatchEffect.LogEvent>()

    /** Commits proposals at once and returns the calls that became due. */
    private fun dispatch(advanceMillis: Long = 0): List<WorkerCall> {
        now += advanceMillis
        val calls = ArrayList<WorkerCall>()
        repeat(ROUNDS) {
            dispatcher.dispatchDue(now)
            dispatcher.drain().forEach { effect ->
                when (effect) {
                    is DispatchEffect.Propose -> dispatcher.commandApplied(effect.command, state.apply(effect.command), now)
                    is DispatchEffect.Call -> calls += effect.call
                    is DispatchEffect.LogEvent -> lines += effect
                    is DispatchEffect.AskEligibility -> Unit
                }
            }
        }
        return calls
    }

    private fun reply(
        call: WorkerCall,
        reply: WorkerReply,
    ) = dispatcher.workerReplied(call, reply, now, now)

    private fun runList(
        born: Long,
        running: List<RunId> = emptyList(),
        ended: List<NumberedRunEnd> = emptyList(),
    ) = WorkerReply.Runs(born, now, running.map { RunningRun(it, "") }, ended)

    private fun renewalOf(
        id: String,
        born: Long = 1,
    ) = WorkerCall.Renew(report(id, born).life, report(id).address, 1, 0, null, 0)

    private fun register(vararg ids: String) {
        ids.forEach { dispatcher.workerReported(report(it, clockMillis = now), now) }
        dispatch().filterIsInstance<WorkerCall.Renew>().forEach { reply(it, runList(born = 1)) }
    }

    private fun submit(
        id: String,
        spec: StepSpec = step(),
    ): WorkerCall.Start {
        val command = FlowCommand.Submit(request(id, spec), now)
        dispatcher.commandApplied(command, state.apply(command), now)
        return starts(dispatch()).single()
    }

    private fun starts(calls: List<WorkerCall>) = calls.filterIsInstance<WorkerCall.Start>()

    private fun details(event: DispatchEvent) = lines.filter { it.event == event }.map { it.detail }

    private fun subjects(event: DispatchEvent) = lines.filter { it.event == event }.map { it.subject }

    /** Answers nothing from the worker of [start] until its lease is over; all others report. */
    private fun waitOutLease(
        start: WorkerCall.Start,
        vararg others: String,
    ) {
        val silentSince = now
        while (now - silentSince < settings.leaseMillis + LEASE_MARGIN_MILLIS) {
            others.forEach { dispatcher.workerReported(report(it, clockMillis = now, sequence = now), now) }
            dispatch(settings.callTimeoutMillis).filter { it.worker == start.worker }.forEach { reply(it, WorkerReply.NoResponse) }
        }
    }

    @Nested
    @DisplayName("when a task is started again")
    inner class Restarts {
        @Test
        fun `names the refusal of the run before`() {
            register("w1", "w2")
            val start = submit("a")
            reply(start, WorkerReply.Refused(RefusalReason.NO_ROOM, now))
            val next = starts(dispatch(settings.retryMillis)).single()
            expectThat(subjects(DispatchEvent.RUN_RESTARTED)).isEqualTo(listOf("a.0.0.0"))
            expectThat(details(DispatchEvent.RUN_RESTARTED).single())
                .contains("run=2 worker=${next.worker.id}/1 previous=1@${start.worker.id}/1 how=REJECTED cause=start refused: NO_ROOM")
        }

        @Test
        fun `names the lease that was waited out, and what was known of the lost run`() {
            register("w1")
            val start = submit("a")
            reply(start, WorkerReply.NoResponse)
            register("w2")
            waitOutLease(start, "w2")
            expectThat(details(DispatchEvent.START_UNANSWERED)).isEqualTo(listOf("run=1 worker=w1/1"))
            expectThat(subjects(DispatchEvent.LEASE_WAITED_OUT)).isEqualTo(listOf("w1/1"))
            val lost = details(DispatchEvent.RUN_LOST).single()
            expectThat(lost).contains("run=1 worker=w1/1 cause=lease expired stage=STARTING startUncertain=true unansweredStarts=")
            expectThat(lost).contains(" lease=${start.deadlineMillis} clock=")
            expectThat(details(DispatchEvent.RUN_RESTARTED).single()).contains("previous=1@w1/1 how=LOST cause=lease expired")
        }

        @Test
        fun `says so when another leader saw the end`() {
            register("w1")
            val start = submit("a")
            state.apply(FlowCommand.Ended(listOf(FlowFixture.end(start.run, RunOutcome.FAILED)), now))
            dispatcher = Dispatcher(state, settings, term = 2, startedAt = now)
            register("w1")
            dispatch()
            expectThat(details(DispatchEvent.RUN_RESTARTED)).isEqualTo(listOf("run=2 worker=w1/1 previous=unknown to this leader"))
        }

        @Test
        fun `names the end of a lasting run that its worker listed`() {
            register("w1")
            val start = submit("a", step().copy(lasting = true))
            reply(start, WorkerReply.Done(now))
            reply(renewalOf("w1"), runList(born = 1, ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatch()
            expectThat(details(DispatchEvent.RUN_RESTARTED))
                .isEqualTo(listOf("run=2 worker=w1/1 previous=1@w1/1 how=DONE cause=listed by its worker ended=0ms"))
        }

        @Test
        fun `says nothing of first runs`() {
            register("w1")
            submit("a")
            expectThat(details(DispatchEvent.RUN_RESTARTED)).isEmpty()
        }
    }

    @Nested
    @DisplayName("when a worker ends")
    inner class WorkerEnds {
        @Test
        fun `names the incarnation that came after it under the same id`() {
            register("w1")
            reply(submit("a"), WorkerReply.Done(now))
            dispatcher.workerReported(report("w1", born = 2, clockMillis = now), now)
            dispatch()
            val address = report("w1").address
            expectThat(subjects(DispatchEvent.WORKER_OVER)).isEqualTo(listOf("w1/1"))
            expectThat(details(DispatchEvent.WORKER_OVER))
                .isEqualTo(listOf("reason=restarted under the same id runs=1 address=$address successor=w1/2"))
            expectThat(subjects(DispatchEvent.WORKER_SEEN)).isEqualTo(listOf("w1/1", "w1/2"))
            expectThat(details(DispatchEvent.WORKER_SEEN).last()).contains("predecessors=[w1/1]")
        }

        @Test
        fun `names the worker that reported its address`() {
            register("w1")
            val address = report("w1").address
            dispatcher.workerReported(report("x", born = 2, address = address), now)
            reply(dispatch().first { it.worker.id == "w1" }, WorkerReply.Refused(RefusalReason.OTHER_LIFE, null))
            dispatch()
            expectThat(details(DispatchEvent.WORKER_OVER))
                .isEqualTo(listOf("reason=another incarnation answers at its address runs=0 address=$address successor=x/2"))
        }

        @Test
        fun `tells of the message that announced it once`() {
            register("w1")
            repeat(2) { dispatcher.workerLeft("w1", now) }
            dispatch()
            expectThat(subjects(DispatchEvent.WORKER_LEAVING)).isEqualTo(listOf("w1/1"))
        }
    }

    @Nested
    @DisplayName("when a list differs from what the leader believes")
    inner class UnexpectedLists {
        @Test
        fun `tells once of a run that is tracked on another worker`() {
            register("w1")
            val start = submit("a")
            register("w2")
            repeat(2) { reply(renewalOf("w2"), runList(born = 1, running = listOf(start.run))) }
            dispatch()
            expectThat(subjects(DispatchEvent.UNEXPECTED_RUN)).isEqualTo(listOf("a.0.0.0"))
            expectThat(details(DispatchEvent.UNEXPECTED_RUN).single())
                .isEqualTo("run=1 worker=w2/1 tracked=1@w1/1 stage=STARTING ending=false state=1@w1/1 done=false job=RUNNING")
        }

        @Test
        fun `tells of a run that nobody tracks`() {
            register("w1")
            reply(renewalOf("w1"), runList(born = 1, running = listOf(FlowFixture.run("gone"))))
            dispatch()
            expectThat(details(DispatchEvent.UNEXPECTED_RUN)).isEqualTo(listOf("run=1 worker=w1/1 tracked=none state=unknown job"))
        }

        @Test
        fun `tells of the end of a run that was taken for lost`() {
            register("w1")
            val start = submit("a")
            reply(start, WorkerReply.NoResponse)
            register("w2")
            waitOutLease(start, "w2")
            reply(renewalOf("w1"), runList(born = 1, ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatch()
            expectThat(details(DispatchEvent.STALE_END)).hasSize(1)
            expectThat(details(DispatchEvent.STALE_END).single()).contains("run=1 how=DONE worker=w1/1 firstEnds=true tracked=2@w2/1")
        }

        @Test
        fun `tells of an end that the next incarnation lists`() {
            register("w1")
            val start = submit("a")
            reply(start, WorkerReply.NoResponse)
            dispatcher.workerReported(report("w1", born = 2, clockMillis = now), now)
            dispatch()
            reply(renewalOf("w1", born = 2), runList(born = 2, ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatch()
            expectThat(details(DispatchEvent.STALE_END).single()).contains("run=1 how=DONE worker=w1/2 firstEnds=true tracked=1@w1/2")
            expectThat(details(DispatchEvent.STALE_END).single()).contains("state=1@w1/1")
        }

        @Test
        fun `says nothing of ordinary lists`() {
            register("w1")
            val start = submit("a")
            reply(start, WorkerReply.Done(now))
            reply(renewalOf("w1"), runList(born = 1, running = listOf(start.run)))
            reply(renewalOf("w1"), runList(born = 1, ended = listOf(NumberedRunEnd(1, FlowFixture.end(start.run)))))
            dispatch()
            expectThat(lines.map { it.event }.filter { it.volume == EventVolume.KEY }.toSet())
                .isEqualTo(setOf(DispatchEvent.WORKER_SEEN, DispatchEvent.WORKER_FENCED))
        }
    }

    @Test
    fun `names a stop that is repeated only once`() {
        register("w1")
        val start = submit("a")
        reply(start, WorkerReply.Done(now))
        dispatcher.commandApplied(FlowCommand.Cancel("a", now), state.apply(FlowCommand.Cancel("a", now)), now)
        repeat(3) { dispatch(settings.callTimeoutMillis).filter { it is WorkerCall.Stop }.forEach { reply(it, WorkerReply.NoResponse) } }
        expectThat(details(DispatchEvent.RUN_STOP_WANTED))
            .isEqualTo(listOf("run=1 worker=w1/1 stage=RUNNING startUncertain=false"))
    }

    @Test
    fun `names the incarnation in each line about a worker`() {
        register("w1")
        val start = submit("a")
        reply(start, WorkerReply.NoResponse)
        waitOutLease(start)
        reply(renewalOf("w1"), runList(born = 1))
        dispatch()
        val workerLines = lines.filter { it.event.name.startsWith("WORKER_") }
        expectThat(workerLines.map { it.event }.toSet()).isEqualTo(
            setOf(
                DispatchEvent.WORKER_SEEN,
                DispatchEvent.WORKER_FENCED,
                DispatchEvent.WORKER_UNREACHABLE,
                DispatchEvent.WORKER_REGAINED,
            ),
        )
        expectThat(workerLines.map { it.subject }).all { isEqualTo("w1/1") }
    }

    private companion object {
        const val ROUNDS = 4
        const val LEASE_MARGIN_MILLIS = 1_500L
    }
}
