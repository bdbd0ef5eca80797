package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.run
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.JobPhase
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

@DisplayName("the replicated state of jobs")
class FlowStateSpec {
    private val state = FlowState().also { it.apply(FlowCommand.Configure(FlowFixture.configuration())) }
    private val worker = WorkerIncarnation("w", 1)

    private fun assign(vararg runs: RunId) =
        (
            state.apply(
                FlowCommand.Assign(
                    runs.map {
                        Assignment(it, worker)
                    },
                ),
            ) as FlowOutcome.Assigned
        ).runs.size

    private fun submit(
        id: String,
        vararg steps: rhubarbknot.flow.model.StepSpec,
        at: Long = 0,
    ) = state.apply(FlowCommand.Submit(request(id, *steps), at))

    private fun ended(
        run: RunId,
        ending: RunOutcome = RunOutcome.DONE,
        checkpoint: String = "",
    ) = state.apply(FlowCommand.Ended(listOf(end(run, ending, checkpoint)), 0))

    private fun phase(id: String) = state.job(id)?.phase

    @Test
    fun `takes a job once however often it is handed in`() {
        submit("a", step())
        assign(run("a"))
        submit("a", step(3))
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        expectThat(state.liveJobs.toList().size).isEqualTo(1)
    }

    @Test
    fun `starts nothing of a step before the steps it waits for are done`() {
        submit("a", step(2), step(1, after = listOf(0)))
        expectThat(assign(run("a", step = 1))).isEqualTo(0)
        assign(run("a", index = 0), run("a", index = 1))
        ended(run("a", index = 0))
        expectThat(assign(run("a", step = 1))).isEqualTo(0)
        ended(run("a", index = 1))
        expectThat(assign(run("a", step = 1))).isEqualTo(1)
        ended(run("a", step = 1))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `assigns no second run while the first may exist, and none after the task is done`() {
        submit("a", step(2))
        expectThat(assign(run("a"), run("a", number = 2))).isEqualTo(1)
        ended(run("a"))
        expectThat(assign(run("a", number = 3))).isEqualTo(0)
    }

    @Test
    fun `counts only failures as attempts`() {
        submit("a", step())
        listOf(RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED, RunOutcome.LOST, RunOutcome.FAILED).forEachIndexed { i, ending ->
            expectThat(assign(run("a", number = i + 1))).isEqualTo(1)
            ended(run("a", number = i + 1), ending)
        }
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        assign(run("a", number = 9))
        ended(run("a", number = 9), RunOutcome.FAILED)
        expectThat(phase("a")).isEqualTo(JobPhase.FAILED)
        expectThat(assign(run("a", number = 10))).isEqualTo(0)
    }

    @Test
    fun `ignores the end of an older run`() {
        submit("a", step())
        assign(run("a"))
        ended(run("a"), RunOutcome.LOST)
        assign(run("a", number = 2))
        ended(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        expectThat(state.runsOn(worker).size).isEqualTo(1)
    }

    @Test
    fun `assigns nothing of a cancelled job, and remembers what may still run`() {
        submit("a", step(2))
        assign(run("a"))
        state.apply(FlowCommand.Cancel("a", 5))
        expectThat(phase("a")).isEqualTo(JobPhase.CANCELLED)
        expectThat(assign(run("a", index = 1))).isEqualTo(0)
        expectThat(state.runsOn(worker).size).isEqualTo(1)
        ended(run("a"), RunOutcome.STOPPED)
        expectThat(state.runsOn(worker)).isEmpty()
        expectThat(state.liveJobs.toList()).isEmpty()
        expectThat(phase("a")).isEqualTo(JobPhase.CANCELLED)
    }

    @Test
    fun `keeps the newest configuration, whatever comes after it`() {
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 7)))
        expectThat(
            state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 7).copy(document = "other"))),
        ).isEqualTo(FlowOutcome.Superseded)
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 3)))
        expectThat(state.configuration?.document).isEqualTo("document 7")
    }

    @Test
    fun `keeps of a job that is over only what callers may still ask for`() {
        submit("a", step())
        val before = state.snapshot().size
        assign(run("a"))
        ended(run("a"))
        expectThat(state.job("a")?.request?.payload).isEqualTo("")
        expectThat(state.snapshot().size).isLessThan(before)
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
        ended(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `forgets jobs that ended long ago, and no others`() {
        submit("old", step(), at = 0)
        state.apply(FlowCommand.Cancel("old", 10))
        submit("live", step(), at = 20)
        submit("new", step(), at = 1_000_000)
        expectThat(phase("old")).isNull()
        expectThat(phase("live")).isEqualTo(JobPhase.QUEUED)
    }

    @Test
    fun `is the same to the byte after a snapshot was restored`() {
        submit("a", step(2), step(1, after = listOf(0)))
        submit("b", step(3, gang = true))
        assign(run("a"), run("b"))
        ended(run("a"), checkpoint = "c1")
        state.apply(FlowCommand.SetZone("z1", drained = true))
        val copy = FlowState().also { it.restore(state.snapshot()) }
        expectThat(copy.snapshot().toList()).isEqualTo(state.snapshot().toList())
        expectThat(copy.runsOn(worker)).isEqualTo(state.runsOn(worker))
        expectThat(copy.pending("q")).isEqualTo(state.pending("q"))
        expectThat(copy.drainedZones).isEqualTo(setOf("z1"))
    }

    @Nested
    @DisplayName("of a gang")
    inner class Gang {
        @Test
        fun `is done when one member says so`() {
            submit("g", step(2, gang = true))
            assign(run("g", index = 0), run("g", index = 1))
            ended(run("g", index = 1))
            expectThat(phase("g")).isEqualTo(JobPhase.COMPLETED)
        }

        @Test
        fun `has made one attempt when two of its members fail in one run`() {
            submit("g", step(2, gang = true))
            assign(run("g", index = 0), run("g", index = 1))
            ended(run("g", index = 0), RunOutcome.FAILED)
            ended(run("g", index = 1), RunOutcome.FAILED)
            expectThat(phase("g")).isEqualTo(JobPhase.RUNNING)
            assign(run("g", index = 0, number = 2), run("g", index = 1, number = 2))
            ended(run("g", index = 0, number = 2), RunOutcome.FAILED)
            expectThat(phase("g")).isEqualTo(JobPhase.FAILED)
        }

        @Test
        fun `counts the failure of one member once for all`() {
            submit("g", step(2, gang = true))
            for (number in 1..2) {
                expectThat(assign(run("g", index = 0, number = number), run("g", index = 1, number = number))).isEqualTo(2)
                ended(run("g", index = 0, number = number), RunOutcome.FAILED)
                ended(run("g", index = 1, number = number), RunOutcome.GANG_BROKEN)
            }
            expectThat(phase("g")).isEqualTo(JobPhase.FAILED)
        }
    }
}
