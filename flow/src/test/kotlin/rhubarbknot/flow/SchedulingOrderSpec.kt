package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.ONE_CORE
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchEvent
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Pool
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.Team
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

@DisplayName("scheduling order when there is more work than capacity")
class SchedulingOrderSpec {
    private val settings = DispatchSettings()
    private val state = FlowState()
    private var now = 100_000L
    private val dispatcher: Dispatcher
    private val logEvents = ArrayList<DispatchEffect.LogEvent>()
    private var lastEndNumber = 0L

    init {
        configure(Resources.NONE)
        dispatcher = Dispatcher(state, settings, term = 1, startedAt = now)
    }

    private fun configure(ceiling: Resources) {
        val queues =
            listOf("urgent" to 0, "usual" to 1, "later" to 2).map { (name, priority) ->
                Queue(name, "host", "/$name/", "pool", priority, maxAttempts = 5, slackFactor = 2.0, targetMillis = 1_000)
            }
        val teams = listOf(Team("a", listOf("key-a"), weight = 4.0, ceiling = ceiling), Team("b", listOf("key-b"), weight = 4.0))
        state.apply(FlowCommand.Configure(Configuration((state.configuration?.version ?: 0) + 1, queues, listOf(Pool("pool")), teams)))
    }

    private fun dispatchAll(advanceMillis: Long = 0): List<WorkerCall> {
        now += advanceMillis
        val calls = ArrayList<WorkerCall>()
        repeat(4) {
            dispatcher.dispatchDue(now)
            dispatcher.drain().forEach { effect ->
                when (effect) {
                    is DispatchEffect.Propose -> dispatcher.commandApplied(effect.command, state.apply(effect.command), now)
                    is DispatchEffect.Call -> calls += effect.call
                    is DispatchEffect.LogEvent -> logEvents += effect
                    else -> Unit
                }
            }
        }
        return calls
    }

    private fun registerWorkers(vararg ids: String) {
        ids.forEach { dispatcher.workerReported(report(it, clockMillis = now), now) }
        dispatchAll().filterIsInstance<WorkerCall.Renew>().forEach {
            dispatcher.workerReplied(
                it,
                WorkerReply.Runs(1, now, emptyList(), emptyList()),
                now,
                now,
            )
        }
    }

    private fun submit(
        id: String,
        queue: String = "usual",
        team: String = "b",
        spec: StepSpec = step().copy(estimatedMillis = 1_000),
        at: Long = now,
    ) {
        val command = FlowCommand.Submit(JobRequest(id, queue, team, "payload", listOf(spec)), at)
        dispatcher.commandApplied(command, state.apply(command), now)
    }

    private fun startCalls(calls: List<WorkerCall>) = calls.filterIsInstance<WorkerCall.Start>()

    /** Reports the end of the run of [start] and commits it. */
    private fun reportEnd(
        start: WorkerCall.Start,
        ending: RunOutcome = RunOutcome.DONE,
    ) {
        val renewal = WorkerCall.Renew(start.worker, start.address, 1, 0, null, 0)
        val reply = WorkerReply.Runs(1, now, emptyList(), listOf(NumberedRunEnd(++lastEndNumber, FlowFixture.end(start.run, ending))))
        dispatcher.workerReplied(renewal, reply, 0, now)
        dispatcher.drain().filterIsInstance<DispatchEffect.Propose>().forEach {
            dispatcher.commandApplied(
                it.command,
                state.apply(it.command),
                now,
            )
        }
    }

    private fun reportProgress(
        worker: WorkerCall.Start,
        percent: Int,
    ) {
        val renewal = WorkerCall.Renew(worker.worker, worker.address, 1, 0, null, 0)
        dispatcher.workerReplied(renewal, WorkerReply.Runs(1, now, listOf(RunningRun(worker.run, "", percent)), emptyList()), 0, now)
    }

    @Test
    fun `jobs of the urgent queue go first even if submitted last`() {
        submit("usual-1", spec = step(4))
        submit("urgent-1", queue = "urgent", spec = step(2))
        registerWorkers("w1")
        val jobs = startCalls(dispatchAll(200)).map { it.run.task.job }
        expectThat(jobs.count { it == "urgent-1" }).isEqualTo(2)
    }

    @Test
    fun `jobs that can meet their objective precede jobs without remaining value, which still run when capacity is free`() {
        submit("old", spec = step(4).copy(estimatedMillis = 1_000), at = now - 60_000)
        submit("fresh", spec = step(4).copy(estimatedMillis = 1_000))
        registerWorkers("w1")
        val first = startCalls(dispatchAll(200))
        expectThat(first.map { it.run.task.job }).all { isEqualTo("fresh") }.hasSize(4)
        first.forEach { reportEnd(it) }
        expectThat(startCalls(dispatchAll(200)).map { it.run.task.job }).contains("old")
    }

    @Test
    fun `a lasting task that ended long after its submission is restarted before jobs that can still be in time`() {
        submit("service", spec = step().copy(estimatedMillis = 1_000, lasting = true), at = now - 60_000)
        registerWorkers("w1")
        val service = startCalls(dispatchAll(200)).single()
        submit("filling", spec = step(3).copy(estimatedMillis = 1_000))
        dispatchAll(200)
        submit("fresh", spec = step(2).copy(estimatedMillis = 1_000))
        reportEnd(service, RunOutcome.FAILED)
        expectThat(startCalls(dispatchAll(200)).map { it.run.task.job }).isEqualTo(listOf("service"))
    }

    @Test
    fun `jobs beyond the share of a team wait behind the jobs of other teams`() {
        // Weight 4 allows 22 jobs within five seconds plus a burst of 20.
        repeat(50) { submit("a-$it", team = "a", spec = step()) }
        submit("b-1", team = "b", spec = step())
        val ids = (1..11).map { "w$it" }.toTypedArray()
        registerWorkers(*ids)
        val jobs = startCalls(dispatchAll(200)).map { it.run.task.job }
        expectThat(jobs).hasSize(44).contains("b-1")
        expectThat(
            jobs
                .filter { it.startsWith("a-") }
                .map { it.removePrefix("a-").toInt() }
                .sorted()
                .take(42),
        ).isEqualTo((0..41).toList())
    }

    @Test
    fun `a gang is not starved by smaller tasks submitted after it`() {
        submit("small", queue = "later", spec = step(4))
        registerWorkers("w1")
        val small = startCalls(dispatchAll(200))
        submit("gang", spec = step(3, gang = true))
        submit("more", queue = "later", spec = step(4))
        reportEnd(small[0])
        expectThat(startCalls(dispatchAll(200))).isEmpty()
        reportEnd(small[1])
        reportEnd(small[2])
        expectThat(startCalls(dispatchAll(200)).map { it.run.task.job }).all { isEqualTo("gang") }.hasSize(3)
    }

    @Test
    fun `a gang is not starved at the ceiling of its team`() {
        configure(Resources(milliCpus = 4_000))
        submit("small", queue = "later", team = "a", spec = step(4))
        registerWorkers("w1", "w2")
        val small = startCalls(dispatchAll(200))
        submit("gang", team = "a", spec = step(3, gang = true))
        submit("more", queue = "later", team = "a", spec = step(4))
        reportEnd(small[0])
        expectThat(startCalls(dispatchAll(200))).isEmpty()
        reportEnd(small[1])
        reportEnd(small[2])
        expectThat(startCalls(dispatchAll(200)).map { it.run.task.job }).all { isEqualTo("gang") }.hasSize(3)
    }

    @Test
    fun `the wait reason of a step is logged after a minimum wait`() {
        configure(ONE_CORE)
        submit("one", team = "a", spec = step(2))
        registerWorkers("w1")
        dispatchAll(200)
        dispatchAll(400)
        expectThat(logEvents.filter { it.event == DispatchEvent.STEP_WAITS }.map { it.subject to it.detail.substringBefore(' ') })
            .isEqualTo(listOf("one.0.0" to "reason=TEAM_AT_CEILING"))
    }

    @Nested
    @DisplayName("a worker that reports itself healthy")
    inner class WorkerReliability {
        @Test
        fun `gets no runs for a while after failures of several jobs and then one at a time`() {
            registerWorkers("w1")
            submit("x")
            submit("y")
            val failed = startCalls(dispatchAll(200))
            failed.forEach { reportEnd(it, RunOutcome.FAILED) }
            expectThat(startCalls(dispatchAll(settings.distrustMillis - 500))).isEmpty()
            now += 600
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            expectThat(startCalls(dispatchAll(100))).hasSize(1)
        }

        // A lasting task took the one run, which never succeeds, and nothing else was ever started on the worker.
        @Test
        fun `gets further runs after failures although the first new run lasts`() {
            registerWorkers("w1")
            submit("x")
            submit("y")
            startCalls(dispatchAll(200)).forEach { reportEnd(it, RunOutcome.FAILED) }
            submit("lasting", spec = step().copy(lasting = true))
            now += settings.distrustMillis + 100
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            val started = ArrayList<WorkerCall.Start>()
            repeat(30) { round ->
                dispatcher.workerReported(report("w1", clockMillis = now, sequence = 3L + round), now)
                startCalls(dispatchAll(200)).forEach { start ->
                    started += start
                    dispatcher.workerReplied(start, WorkerReply.Done(now), now, now)
                    if (start.run.task.job != "lasting") reportEnd(start)
                }
            }
            expectThat(started.map { it.run.task.job }.toSet()).isEqualTo(setOf("lasting", "x", "y"))
        }

        @Test
        fun `is not distrusted for the failures of a single job`() {
            registerWorkers("w1")
            submit("x", spec = step(3))
            startCalls(dispatchAll(200)).forEach { reportEnd(it, RunOutcome.FAILED) }
            submit("y")
            expectThat(startCalls(dispatchAll(200)).map { it.run.task.job }).contains("y")
        }

        @Test
        fun `does not get a task that failed on it again while another worker is available`() {
            registerWorkers("w1", "w2")
            submit("x")
            val first = startCalls(dispatchAll(200)).single()
            reportEnd(first, RunOutcome.FAILED)
            expectThat(startCalls(dispatchAll(200)).single().worker).isNotEqualTo(first.worker)
        }

        @Test
        fun `has its stalled run stopped and gets no new runs`() {
            registerWorkers("w1", "w2")
            submit("x")
            val start = startCalls(dispatchAll(200)).single()
            dispatcher.workerReplied(start, WorkerReply.Done(now), now, now)
            reportProgress(start, 10)
            now += settings.stallMillis + 100
            reportProgress(start, 10)
            val calls = dispatchAll()
            expectThat(calls.filterIsInstance<WorkerCall.Stop>().map { it.run }).contains(start.run)
            expectThat(logEvents.map { it.event }).any { isEqualTo(DispatchEvent.RUN_STALLED) }
            submit("y")
            expectThat(startCalls(dispatchAll(200)).single().worker).isNotEqualTo(start.worker)
        }

        @Test
        fun `keeps a run that makes progress`() {
            registerWorkers("w1")
            submit("x")
            val start = startCalls(dispatchAll(200)).single()
            dispatcher.workerReplied(start, WorkerReply.Done(now), now, now)
            (1..9).forEach {
                reportProgress(start, it * 10)
                now += 400
            }
            expectThat(dispatchAll().filterIsInstance<WorkerCall.Stop>()).isEmpty()
        }
    }
}
