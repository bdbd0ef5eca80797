package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.report
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.dispatch.NumberedRunEnd
import rhubarbknot.flow.dispatch.RunningRun
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.state.FlowCommand
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against reservations for gangs that no set of workers can hold: an idle cell started nothing behind such a gang. */
@DisplayName("the reservation for a gang")
class GangReservationSpec : DispatcherTest() {
    private var lastEndNumber = 0L

    private fun startedJobs(advanceMillis: Long = 200): List<String> = startCalls(dispatchAll(advanceMillis)).map { it.run.task.job }

    /** Starts [id] and confirms its runs. */
    private fun startConfirmed(
        id: String,
        spec: StepSpec,
    ): List<WorkerCall.Start> {
        submit(id, spec)
        val starts = startCalls(dispatchAll(200)).filter { it.run.task.job == id }
        starts.forEach { reply(it, WorkerReply.Done(now)) }
        return starts
    }

    private fun reportEnd(
        start: WorkerCall.Start,
        outcome: RunOutcome = RunOutcome.DONE,
    ) {
        val renewal = WorkerCall.Renew(start.worker, start.address, 1, 0, null, 0)
        reply(renewal, runsReply(ended = listOf(NumberedRunEnd(++lastEndNumber, end(start.run, outcome)))))
    }

    private fun keepAlive(
        vararg ids: String,
        running: List<WorkerCall.Start> = emptyList(),
        percent: Int = 0,
    ) = ids.forEach { id ->
        dispatcher.workerReported(report(id, clockMillis = now, sequence = now), now)
        val listed = running.filter { it.worker.id == id }.map { RunningRun(it.run, "", percent) }
        lastRenewal(id).let { reply(it, runsReply(running = listed)) }
    }

    private fun gang(
        count: Int,
        spreadLimit: Int = 0,
        demand: Resources = FlowFixture.ONE_CORE,
    ) = step(count, gang = true, spreadLimit = spreadLimit).copy(demand = demand)

    @Nested
    @DisplayName("is not made when no set of workers can hold the gang")
    inner class Hopeless {
        private fun startsBehind(gang: StepSpec) {
            submit("gang", gang)
            submit("small", step())
            expectThat(startedJobs()).isEqualTo(listOf("small"))
        }

        @Test
        fun `because of its spread limit`() {
            registerWorkers("w1", "w2")
            startsBehind(gang(4, spreadLimit = 1, demand = TWO_CORES))
        }

        @Test
        fun `because of CPU, memory or accelerators`() {
            registerWorkers("w1", "w2")
            submit("cpu", gang(9))
            submit("memory", gang(3, demand = Resources(milliCpus = 1, memoryMb = 4_000)))
            submit("accelerators", gang(1, demand = Resources(milliCpus = 1, accelerators = 1)))
            startsBehind(gang(2).copy(label = "unknown"))
        }

        @Test
        fun `because lasting tasks never free the capacity`() {
            registerWorkers("w1")
            expectThat(startConfirmed("service", step().copy(lasting = true)).size).isEqualTo(1)
            startsBehind(gang(4))
        }

        @Test
        fun `because a worker on probation takes one run at a time`() {
            registerWorkers("w1")
            listOf("a", "b").forEach { id -> startConfirmed(id, step()).forEach { reportEnd(it, RunOutcome.FAILED) } }
            listOf("a", "b").forEach { id ->
                val command = FlowCommand.Cancel(id, now)
                dispatcher.commandApplied(command, state.apply(command), now)
            }
            dispatchAll(200)
            now += settings.distrustMillis
            dispatcher.workerReported(report("w1", clockMillis = now, sequence = 2), now)
            startsBehind(gang(2, demand = TWO_CORES))
        }

        @Test
        fun `so that another gang gets its room`() {
            registerWorkers("w1", "w2")
            val running = startConfirmed("running", step())
            submit("hopeless", gang(4, spreadLimit = 1, demand = TWO_CORES))
            submit("gang", gang(8))
            submit("small", step(4))
            expectThat(startedJobs()).isEmpty()
            reportEnd(running.single())
            expectThat(startedJobs().toSet()).isEqualTo(setOf("gang"))
        }

        @Test
        fun `nor does a suspect gang keep other starts from the workers`() {
            registerWorkers("w1", "w2")
            submit("gang", gang(4, spreadLimit = 2))
            val started = startCalls(dispatchAll(200))
            val runs = started.map { it.run }
            val lost = FlowCommand.Ended(runs.map { end(it, RunOutcome.LOST) }, now, crash = WorkerCrash(starting = runs.take(1)))
            dispatcher.commandApplied(lost, state.apply(lost), now)
            dispatcher.workerReported(report("w2", clockMillis = now, sequence = 2, draining = true), now)
            startConfirmed("first", step())
            // A job that is too late to have any value comes after the gang.
            val late = FlowCommand.Submit(request("late", step()), now - 60_000)
            dispatcher.commandApplied(late, state.apply(late), now)
            expectThat(startedJobs(50)).isEqualTo(listOf("late"))
        }
    }

    @Nested
    @DisplayName("of its team's ceiling")
    inner class Ceiling {
        private fun setCeiling(milliCpus: Int) {
            state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 2, ceiling = Resources(milliCpus = milliCpus))))
        }

        @Test
        fun `is not made when the workers can't hold the gang`() {
            setCeiling(4_000)
            registerWorkers("w1", "w2")
            startConfirmed("running", step())
            submit("gang", gang(4, spreadLimit = 1))
            submit("small", step())
            expectThat(startedJobs()).isEqualTo(listOf("small"))
        }

        @Test
        fun `is not made when lasting tasks of the team never leave room for it`() {
            setCeiling(4_000)
            registerWorkers("w1", "w2")
            startConfirmed("service", step().copy(lasting = true))
            submit("gang", gang(4))
            submit("small", step())
            expectThat(startedJobs()).isEqualTo(listOf("small"))
        }
    }

    @Nested
    @DisplayName("while runs have to end first")
    inner class Backfill {
        @Test
        fun `keeps the room from tasks that would not end before the gang can start`() {
            registerWorkers("w1")
            val running = startConfirmed("running", step().copy(estimatedMillis = 10_000))
            submit("gang", gang(4).copy(estimatedMillis = 10_000))
            submit("long", step().copy(estimatedMillis = 9_000))
            expectThat(startedJobs()).doesNotContain("long")
            reportEnd(running.single())
            expectThat(startedJobs().toSet()).isEqualTo(setOf("gang"))
        }

        @Test
        fun `leaves the room to tasks that are expected to end before the gang can start`() {
            registerWorkers("w1")
            startConfirmed("running", step().copy(estimatedMillis = 10_000))
            submit("gang", gang(4))
            submit("short", step().copy(estimatedMillis = 1_000))
            submit("service", step().copy(lasting = true))
            expectThat(startedJobs()).isEqualTo(listOf("short"))
        }

        @Test
        fun `lasts no longer for a run that goes on far beyond its estimate`() {
            registerWorkers("w1")
            val running = startConfirmed("running", step().copy(estimatedMillis = 1_000))
            submit("gang", gang(4).copy(estimatedMillis = 60_000))
            submit("small", step().copy(estimatedMillis = 1_000))
            val started = ArrayList<String>()
            repeat(40) {
                started += startedJobs(250)
                keepAlive("w1", running = running, percent = it + 1)
            }
            expectThat(started).contains("small")
        }
    }

    private companion object {
        val TWO_CORES = Resources(milliCpus = 2_000, memoryMb = 100)
    }
}
