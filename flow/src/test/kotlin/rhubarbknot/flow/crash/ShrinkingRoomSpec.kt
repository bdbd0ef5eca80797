package rhubarbknot.flow.crash

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture
import rhubarbknot.flow.FlowFixture.ONE_CORE
import rhubarbknot.flow.FlowFixture.ROOM
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** A start that was placed before its worker's room shrank was sent, or sent again, after it. */
@DisplayName("a worker whose room shrinks")
class ShrinkingRoomSpec {
    private val state = FlowState().also { it.apply(FlowCommand.Configure(FlowFixture.configuration())) }
    private var now = 100_000L
    private val dispatcher = Dispatcher(state, DispatchSettings(), term = 1, startedAt = now)

    private fun drainCalls(): List<WorkerCall> {
        val calls = ArrayList<WorkerCall>()
        repeat(4) {
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

    private fun starts() = drainCalls().filterIsInstance<WorkerCall.Start>()

    private fun reportRoom(
        room: Resources,
        sequence: Long,
    ) = dispatcher.workerReported(report("w1", clockMillis = now, sequence = sequence).copy(room = room), now)

    private fun register() {
        reportRoom(ROOM, 1)
        drainCalls().filterIsInstance<WorkerCall.Renew>().forEach {
            dispatcher.workerReplied(it, WorkerReply.Runs(1, now, emptyList(), emptyList()), now, now)
        }
    }

    private fun renew(ended: List<NumberedRunEnd>) {
        val renewal = WorkerCall.Renew(WorkerIncarnation("w1", 1), "10.0.0.1:w1", 1, 0, null, 0)
        dispatcher.workerReplied(renewal, WorkerReply.Runs(1, now, emptyList(), ended), 0, now)
    }

    private fun submit(
        id: String,
        count: Int,
    ) {
        val command = FlowCommand.Submit(request(id, step(count)), now)
        dispatcher.commandApplied(command, state.apply(command), now)
    }

    @Test
    fun `gets no run that does not fit any more, and gets it when the room grows again`() {
        register()
        reportRoom(ONE_CORE * 2, 2)
        submit("a", 4)
        expectThat(starts()).hasSize(2)
        now += 100
        reportRoom(ROOM, 3)
        expectThat(starts()).hasSize(2)
    }

    @Test
    fun `gets no start that was placed but not sent before the room shrank`() {
        register()
        submit("a", 4)
        dispatcher.dispatchDue(now)
        val placed = dispatcher.drain().filterIsInstance<DispatchEffect.Propose>()
        reportRoom(ONE_CORE * 2, 2)
        placed.forEach { dispatcher.commandApplied(it.command, state.apply(it.command), now) }
        expectThat(starts()).hasSize(2)
    }

    @Test
    fun `gets no repeated start that does not fit any more`() {
        register()
        submit("a", 4)
        val sent = starts()
        expectThat(sent).hasSize(4)
        sent.forEach { dispatcher.workerReplied(it, WorkerReply.NoResponse, now, now) }
        reportRoom(ONE_CORE * 2, 2)
        now += 50
        // Each of the four may already run, so none may be sent again until enough of them are stopped for good.
        val calls = drainCalls()
        expectThat(calls.filterIsInstance<WorkerCall.Start>()).isEmpty()
        val stops = calls.filterIsInstance<WorkerCall.Stop>()
        expectThat(stops).hasSize(2)
        stops.forEach { dispatcher.workerReplied(it, WorkerReply.Done(now), now, now) }
        now += 300
        expectThat(starts()).isEmpty()
        val ended = stops.mapIndexed { i, stop -> NumberedRunEnd(i + 1L, end(stop.run, RunOutcome.STOPPED)) }
        renew(ended)
        drainCalls()
        now += 300
        expectThat(starts().map { it.run }).isEqualTo(sent.map { it.run } - stops.map { it.run }.toSet())
    }

    @Test
    fun `gets no repeated start on a report that is older than the room may count`() {
        register()
        submit("a", 1)
        starts().forEach { dispatcher.workerReplied(it, WorkerReply.NoResponse, now, now) }
        now += DispatchSettings().reportTimeoutMillis + 1
        expectThat(starts()).isEmpty()
        reportRoom(ROOM, 2)
        now += 200
        expectThat(starts()).hasSize(1)
    }

    @Test
    fun `gets no run on a report that is older than the room may count`() {
        register()
        now += DispatchSettings().reportTimeoutMillis + 1
        submit("a", 1)
        expectThat(starts()).isEmpty()
    }
}
