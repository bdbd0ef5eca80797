package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@DisplayName("the dispatcher, when a leave message arrives")
class LeaveMessageSpec : DispatcherTest() {
    private val departureMillis = settings.departureMillis

    private fun startOnW1(born: Long): WorkerCall.Start {
        dispatcher.workerReported(report("w1", born = born, clockMillis = now), now)
        dispatchAll().filterIsInstance<WorkerCall.Renew>().forEach { reply(it, runsReply(born = born)) }
        submit("a", step())
        val calls = dispatchAll()
        val start = startCalls(calls).single()
        reply(start, WorkerReply.Done(now))
        answerRenewals(calls + dispatchAll()) { runsReply(listOf(RunningRun(start.run, "")), born = born) }
        return start
    }

    private fun addW2(
        start: WorkerCall.Start,
        born: Long = 2,
    ) {
        dispatcher.workerReported(report("w2", clockMillis = now), now)
        val (second, first) = dispatchAll().filterIsInstance<WorkerCall.Renew>().partition { it.worker.id == "w2" }
        second.forEach { reply(it, runsReply()) }
        answerRenewals(first) { runsReply(listOf(RunningRun(start.run, "")), born = born) }
    }

    private fun answerRenewals(
        calls: List<WorkerCall>,
        answer: () -> WorkerReply,
    ) = calls.filterIsInstance<WorkerCall.Renew>().filter { it.worker.id == "w1" }.forEach { reply(it, answer()) }

    // A task ran twice after a leave message of its worker's earlier incarnation had been delivered late.
    @Test
    fun `keeps the runs of an incarnation that still lists them after a leave message of an earlier one`() {
        dispatcher.workerReported(report("w1", born = 1, clockMillis = now, draining = true), now)
        val start = startOnW1(born = 2)
        addW2(start)
        dispatcher.workerLeft("w1", now)
        repeat(4) { round ->
            val calls = dispatchAll(departureMillis / 2)
            expectThat(startCalls(calls)).isEmpty()
            answerRenewals(calls) { runsReply(listOf(RunningRun(start.run, "", percent = 10 * round)), born = 2) }
        }
        expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
        // The worker counts again as one that may get runs.
        expectThat(dispatcher.workerCounts(now).first).isEqualTo(2)
    }

    // The same, while the leader can not reach the worker: silence is no proof that the incarnation has ended.
    @Test
    fun `waits for the lease of a worker that neither answers nor refuses connections`() {
        val start = startOnW1(born = 2)
        addW2(start)
        dispatcher.workerLeft("w1", now)
        val silentSince = now
        while (now - silentSince < settings.leaseMillis) {
            val calls = dispatchAll(departureMillis / 2)
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
            expectThat(startCalls(calls)).isEmpty()
            answerRenewals(calls) { WorkerReply.NoResponse }
        }
        expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
    }

    // A worker that had announced its end and sent its leave message lived on behind a partition, and its tasks ran twice.
    @ParameterizedTest
    @EnumSource(Silence::class)
    fun `waits for the lease of a worker that drained, has left and is silent`(silence: Silence) {
        val start = startOnW1(born = 2)
        addW2(start)
        dispatcher.workerReported(report("w1", born = 2, clockMillis = now, sequence = 2, draining = true), now)
        dispatcher.workerLeft("w1", now)
        val silentSince = now
        while (now - silentSince < settings.leaseMillis) {
            val calls = dispatchAll(departureMillis / 2)
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
            expectThat(startCalls(calls)).isEmpty()
            answerRenewals(calls) { silence.reply }
        }
        val next = startCalls(dispatchAll(departureMillis)).single()
        expectThat(next.run.task).isEqualTo(start.run.task)
        expectThat(next.worker.id).isEqualTo("w2")
    }

    // A message of an earlier incarnation may be held up until a later one drains and can not be reached.
    @Test
    fun `waits for the lease of a silent worker that drains but has only just started`() {
        val born = now - LATEST_MESSAGE_MILLIS
        val start = startOnW1(born)
        addW2(start, born)
        dispatcher.workerReported(report("w1", born = born, clockMillis = now, sequence = 2, draining = true), now)
        dispatcher.workerLeft("w1", now - departureMillis)
        answerRenewals(dispatchAll()) { WorkerReply.NoResponse }
        expectThat(startCalls(dispatchAll())).isEmpty()
        expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
    }

    // Each worker that had left was called several times a second for 20 s.
    @Test
    fun `asks a worker without runs once whether it has left, and no longer when it is silent`() {
        registerWorkers("w1")
        dispatcher.workerLeft("w1", now)
        val question = dispatchAll(departureMillis).filterIsInstance<WorkerCall.Renew>().single()
        reply(question, WorkerReply.NotSent)
        expectThat((1..10).flatMap { dispatchAll(settings.reportTimeoutMillis) }).isEmpty()
    }

    @Test
    fun `grants a draining worker short leases, so that its runs are soon over after its end`() {
        val start = startOnW1(born = 2)
        addW2(start)
        dispatcher.workerReported(report("w1", born = 2, clockMillis = now, sequence = 2, draining = true), now)
        val drainingSince = now
        while (now - drainingSince < settings.leaseMillis) {
            answerRenewals(dispatchAll(departureMillis / 2)) { runsReply(listOf(RunningRun(start.run, "")), born = 2) }
        }
        dispatcher.workerLeft("w1", now)
        val leftAt = now
        while (now - leftAt < settings.drainingLeaseMillis + departureMillis) {
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
            val calls = dispatchAll(departureMillis / 2)
            answerRenewals(calls) { WorkerReply.ConnectionRefused }
            if (startCalls(calls).isNotEmpty()) return
        }
        expectThat(now - leftAt).isLessThanOrEqualTo(settings.drainingLeaseMillis)
    }

    @Test
    fun `does not take a refused connection alone for the end of a worker`() {
        val start = startOnW1(born = 2)
        addW2(start)
        answerRenewals(dispatchAll(settings.renewWaitMillis)) { WorkerReply.ConnectionRefused }
        expectThat(startCalls(dispatchAll())).isEmpty()
        expectThat(state.runsOn(start.worker)[start.run.task]).isEqualTo(start.run.number)
    }

    /** How a worker that can't be reached answers. */
    enum class Silence(
        val reply: WorkerReply,
    ) {
        NO_RESPONSE(WorkerReply.NoResponse),
        CONNECTION_REFUSED(WorkerReply.ConnectionRefused),
    }

    private companion object {
        /** How long a leave message may be held up, in milliseconds. */
        const val LATEST_MESSAGE_MILLIS = 15_000L
    }
}
