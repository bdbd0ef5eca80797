package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.FencingToken
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.state.FlowCommand
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty

@DisplayName("a worker that starts again under its id")
class RestartedWorkerSpec : DispatcherTest() {
    private fun startOnW1(): WorkerCall.Start {
        registerWorkers("w1")
        submit("a", step())
        return dispatchAll().starts.single()
    }

    private fun addW2() = registerWorkers("w2")

    private fun runsOfNext(
        running: List<RunningRun> = emptyList(),
        clock: Long = 100,
    ) = runsReply(running, born = 2, clock = clock)

    /** Restarts w1 and returns the first renewal that the new incarnation gets. */
    private fun restart(): WorkerCall.Renew {
        dispatcher.workerReported(report("w1", born = 2), now)
        return dispatchAll(100).renewals.first { it.worker.born == 2L }
    }

    // A late acknowledgement discarded an end that was never seen, and the task ran again; a late start ran a task twice.
    @Test
    fun `gets a higher fencing token than every call to its earlier incarnation, so that it refuses late ones`() {
        val start = startOnW1()
        reply(start, WorkerReply.Done(now))
        reply(lastRenewal("w1"), runsReply(ended = listOf(NumberedRunEnd(1, end(start.run)))))
        dispatchAll()
        val latest = sent.maxOf { it.fencingToken }
        restart()
        val calls = sent.filter { it.worker.born == 2L }
        expectThat(calls).isNotEmpty().all { get { fencingToken }.isGreaterThan(latest) }
        expectThat(calls.map { FencingToken.termOf(it.fencingToken) }.toSet()).isEqualTo(setOf(1L))
    }

    @Test
    fun `gets lower fencing tokens than those of the next leader`() {
        startOnW1()
        restart()
        val latest = sent.maxOf { it.fencingToken }
        changeLeader()
        dispatcher.workerReported(report("w1", born = 2, sequence = 2), now)
        expectThat(dispatchAll(100).first().fencingToken).isGreaterThan(latest)
    }

    // The stop had been acknowledged by the earlier incarnation; a late start then ran in the next one, and the task elsewhere.
    @Test
    fun `is asked again to stop a run whose stop its earlier incarnation acknowledged`() {
        val start = startOnW1()
        reply(start, WorkerReply.NoResponse)
        val cancel = FlowCommand.Cancel("a", now)
        dispatcher.commandApplied(cancel, state.apply(cancel), now)
        reply(dispatchAll(50).stops.single(), WorkerReply.Done(now))
        reply(restart(), runsOfNext())
        expectThat(
            dispatchAll(100)
                .stops
                .map { it.run to it.worker.born },
        ).isEqualTo(listOf(start.run to 2L))
    }

    // A late confirmation by the earlier incarnation made the run count as lost while a copy of its start was still under way.
    @Test
    fun `does not count as running what its earlier incarnation confirms late`() {
        val start = startOnW1()
        addW2()
        reply(restart(), runsOfNext())
        reply(start, WorkerReply.Done(now))
        val calls = dispatchAll(100)
        expectThat(calls.starts).isEmpty()
        expectThat(calls.stops.map { it.run to it.worker.born }).isEqualTo(listOf(start.run to 2L))
        now += 10
        calls.renewals.forEach { reply(it, runsOfNext()) }
        expectThat(dispatchAll(100).starts).isEmpty()
    }

    // A renewal with a deadline on the clock of the earlier incarnation was executed by the next one, whose clock had started anew.
    @ParameterizedTest
    @ValueSource(longs = [100, 482_113])
    fun `may hold the longest lease that a worker grants, and is waited for as long`(clock: Long) {
        val start = startOnW1()
        reply(start, WorkerReply.Done(100))
        val born = now
        dispatcher.workerReported(report("w1", born = born), now)
        val renewal = dispatchAll(100).renewals.first { it.worker.born == born }
        reply(renewal, runsReply(listOf(RunningRun(start.run, "")), born = born, clock = clock))
        expectNoStartWhileSilent(settings.longestLeaseMillis)
    }

    @Test
    fun `is waited for as long by a leader that it has not answered yet`() {
        now += 1
        val born = now
        dispatcher.workerReported(report("w1", born = born), now)
        dispatchAll().renewals.forEach { reply(it, runsReply(born = born, clock = 0)) }
        submit("a", step())
        reply(dispatchAll().starts.single(), WorkerReply.Done(100))
        changeLeader()
        expectNoStartWhileSilent(settings.longestLeaseMillis)
    }

    /** Lets w1 be silent; its task must not start on w2 for [millis], but soon afterwards. */
    private fun expectNoStartWhileSilent(millis: Long) {
        addW2()
        reply(lastRenewal("w1"), WorkerReply.NoResponse)
        val silentSince = now
        while (now - silentSince < millis) {
            val calls = dispatchAll(500)
            expectThat(calls.starts).isEmpty()
            calls.forEach { reply(it, if (it.worker.id == "w1") WorkerReply.NoResponse else runsReply()) }
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = now), now)
        }
        expectThat(dispatchAll(1_000).starts.map { it.worker.id }).isEqualTo(listOf("w2"))
    }
}
