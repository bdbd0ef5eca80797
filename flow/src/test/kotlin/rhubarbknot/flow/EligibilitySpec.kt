package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.EligibilityRequest
import rhubarbknot.flow.dispatch.RefusalReason
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.EligibilitySettings
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("a step that needs tickets")
class EligibilitySpec {
    private val state = FlowState()
    private var now = 100_000L
    private val dispatcher: Dispatcher
    private val questions = ArrayList<EligibilityRequest>()
    private val calls = ArrayList<WorkerCall>()
    private val proposed = ArrayList<FlowCommand>()

    init {
        val plain = FlowFixture.configuration()
        val queue = plain.queues.single().copy(eligibility = EligibilitySettings(10.0, 1.0, 2_000))
        state.apply(FlowCommand.Configure(plain.copy(queues = listOf(queue))))
        dispatcher = Dispatcher(state, DispatchSettings(), term = 1, startedAt = now)
        dispatcher.setEligibilityCallers(listOf("host-1"))
        dispatcher.workerReported(report("w1", clockMillis = now), now)
        round()
        calls.filterIsInstance<WorkerCall.Renew>().forEach {
            dispatcher.workerReplied(
                it,
                WorkerReply.Runs(1, now, emptyList(), emptyList()),
                now,
                now,
            )
        }
        val submit = FlowCommand.Submit(request("a", step()), now)
        dispatcher.commandApplied(submit, state.apply(submit), now)
    }

    private fun round() {
        dispatcher.dispatchDue(now)
        dispatcher.drain().forEach { effect ->
            when (effect) {
                is DispatchEffect.Propose -> proposed += effect.command
                is DispatchEffect.Call -> calls += effect.call
                is DispatchEffect.AskEligibility -> questions += effect.request
                is DispatchEffect.LogEvent -> Unit
            }
        }
    }

    private fun commit() {
        val commands = ArrayList(proposed)
        proposed.clear()
        commands.forEach { dispatcher.commandApplied(it, state.apply(it), now) }
    }

    private fun answer() = dispatcher.eligibilityReplied(EligibilityReply(questions.removeLast().number, mapOf("w1" to "ticket")), now)

    private fun starts() = calls.filterIsInstance<WorkerCall.Start>()

    @Test
    fun `starts with the ticket that the service gave`() {
        round()
        expectThat(questions.single().workers).isEqualTo(listOf("w1"))
        answer()
        round()
        commit()
        round()
        expectThat(starts().single().ticket).isEqualTo("ticket")
    }

    @Test
    fun `is not sent with a ticket that ran out while the log was slow, and is asked about again`() {
        round()
        answer()
        round()
        now += 2_500
        commit()
        dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
        round()
        expectThat(starts()).isEmpty()
        commit()
        round()
        expectThat(questions).hasSize(1)
    }

    @Test
    fun `asks again about a worker that did not take its ticket`() {
        round()
        answer()
        round()
        commit()
        round()
        dispatcher.workerReplied(starts().single(), WorkerReply.Refused(RefusalReason.TICKET, now), now, now)
        round()
        commit()
        round()
        expectThat(questions.flatMap { it.workers }).contains("w1")
    }
}
