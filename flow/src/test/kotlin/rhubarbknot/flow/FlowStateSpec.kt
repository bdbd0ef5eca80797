package rhubarbknot.flow

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.pendingIn
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.FlowFixture.run
import rhubarbknot.flow.FlowFixture.step
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.WorkerCrash
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
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

@DisplayName("FlowState")
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

    private fun reportEnd(
        run: RunId,
        ending: RunOutcome = RunOutcome.DONE,
        checkpoint: String = "",
    ) = state.apply(FlowCommand.Ended(listOf(end(run, ending, checkpoint)), 0))

    private fun phase(id: String) = state.job(id)?.phase

    @Test
    fun `accepts a job once when it is submitted repeatedly`() {
        submit("a", step())
        assign(run("a"))
        submit("a", step(3))
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        expectThat(state.liveJobs.toList().size).isEqualTo(1)
    }

    @Test
    fun `assigns no run of a step before its dependencies are done`() {
        submit("a", step(2), step(1, after = listOf(0)))
        expectThat(assign(run("a", step = 1))).isEqualTo(0)
        assign(run("a", index = 0), run("a", index = 1))
        reportEnd(run("a", index = 0))
        expectThat(assign(run("a", step = 1))).isEqualTo(0)
        reportEnd(run("a", index = 1))
        expectThat(assign(run("a", step = 1))).isEqualTo(1)
        reportEnd(run("a", step = 1))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    // A worker came back with the end of a task that was then acknowledged, dropped, and run again.
    @Test
    fun `counts a task as done by a run that was given up, as long as no later run is assigned`() {
        submit("a", step())
        assign(run("a"))
        reportEnd(run("a"), RunOutcome.LOST)
        reportEnd(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(assign(run("a", number = 2))).isEqualTo(0)
    }

    @Test
    fun `does not count a task as done by an earlier run than the one that may exist`() {
        submit("a", step())
        assign(run("a"))
        reportEnd(run("a"), RunOutcome.LOST)
        assign(run("a", number = 2))
        reportEnd(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        reportEnd(run("a", number = 2))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `assigns no second run of a task while the first may exist, and none after the task is done`() {
        submit("a", step(2))
        expectThat(assign(run("a"), run("a", number = 2))).isEqualTo(1)
        reportEnd(run("a"))
        expectThat(assign(run("a", number = 3))).isEqualTo(0)
    }

    @Test
    fun `counts only failures as attempts`() {
        submit("a", step())
        listOf(RunOutcome.STOPPED, RunOutcome.LEASE_EXPIRED, RunOutcome.LOST, RunOutcome.FAILED).forEachIndexed { i, ending ->
            expectThat(assign(run("a", number = i + 1))).isEqualTo(1)
            reportEnd(run("a", number = i + 1), ending)
        }
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        assign(run("a", number = 9))
        reportEnd(run("a", number = 9), RunOutcome.FAILED)
        expectThat(phase("a")).isEqualTo(JobPhase.FAILED)
        expectThat(assign(run("a", number = 10))).isEqualTo(0)
    }

    @Test
    fun `ignores the end of an older run`() {
        submit("a", step())
        assign(run("a"))
        reportEnd(run("a"), RunOutcome.LOST)
        assign(run("a", number = 2))
        reportEnd(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        expectThat(state.runsOn(worker).size).isEqualTo(1)
    }

    @Test
    fun `assigns no run of a cancelled job and tracks its runs until they end`() {
        submit("a", step(2))
        assign(run("a"))
        state.apply(FlowCommand.Cancel("a", 5))
        expectThat(phase("a")).isEqualTo(JobPhase.CANCELLED)
        expectThat(assign(run("a", index = 1))).isEqualTo(0)
        expectThat(state.runsOn(worker).size).isEqualTo(1)
        reportEnd(run("a"), RunOutcome.STOPPED)
        expectThat(state.runsOn(worker)).isEmpty()
        expectThat(state.liveJobs.toList()).isEmpty()
        expectThat(phase("a")).isEqualTo(JobPhase.CANCELLED)
    }

    @Test
    fun `ignores a configuration that is not newer than the current one`() {
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 7)))
        expectThat(
            state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 7).copy(document = "other"))),
        ).isEqualTo(FlowOutcome.Superseded)
        state.apply(FlowCommand.Configure(FlowFixture.configuration(version = 3)))
        expectThat(state.configuration?.document).isEqualTo("document 7")
    }

    @Test
    fun `drops the payload of a finished job but keeps its phase`() {
        submit("a", step())
        val before = state.snapshot().size
        assign(run("a"))
        reportEnd(run("a"))
        expectThat(state.job("a")?.request?.payload).isEqualTo("")
        expectThat(state.snapshot().size).isLessThan(before)
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
        reportEnd(run("a"))
        expectThat(phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `removes only jobs that finished before the retention period`() {
        submit("old", step(), at = 0)
        state.apply(FlowCommand.Cancel("old", 10))
        submit("live", step(), at = 20)
        submit("new", step(), at = 1_000_000)
        expectThat(phase("old")).isNull()
        expectThat(phase("live")).isEqualTo(JobPhase.QUEUED)
    }

    @Test
    fun `produces an identical snapshot after a restore`() {
        submit("a", step(2), step(1, after = listOf(0)))
        submit("b", step(3, gang = true))
        assign(run("a"), run("b"))
        reportEnd(run("a"), checkpoint = "c1")
        state.apply(FlowCommand.SetZone("z1", drained = true))
        val restored = FlowState().also { it.restore(state.snapshot()) }
        expectThat(restored.snapshot().toList()).isEqualTo(state.snapshot().toList())
        expectThat(restored.runsOn(worker)).isEqualTo(state.runsOn(worker))
        expectThat(restored.pendingIn("q")).isEqualTo(state.pendingIn("q"))
        expectThat(restored.drainedZones).isEqualTo(setOf("z1"))
    }

    @Nested
    @DisplayName("when it counts pending jobs")
    inner class Pending {
        private fun started(vararg jobs: String) = state.apply(FlowCommand.Ended(emptyList(), 0, startedJobs = jobs.toList()))

        @Test
        fun `counts a job until it has started, whatever is assigned or ends without a start`() {
            submit("a", step())
            submit("b", step())
            assign(run("a"), run("b"))
            reportEnd(run("a"), RunOutcome.REJECTED)
            reportEnd(run("b"), RunOutcome.LOST)
            expectThat(state.pendingIn("q")).isEqualTo(2)
            started("a", "unknown")
            expectThat(state.pendingIn("q")).isEqualTo(1)
            started("a")
            state.apply(FlowCommand.Cancel("b", 5))
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }

        @Test
        fun `keeps what has started in snapshots`() {
            submit("a", step())
            submit("b", step())
            assign(run("a"), run("b"))
            started("a")
            state.restore(state.snapshot())
            expectThat(state.pendingIn("q")).isEqualTo(1)
        }

        @Test
        fun `counts a job with an end that only a started run can have as started`() {
            submit("a", step(2))
            submit("b", step(2))
            assign(run("a"), run("b"))
            reportEnd(run("a"))
            reportEnd(run("b"), RunOutcome.FAILED)
            expectThat(state.pendingIn("q")).isEqualTo(0)
        }
    }

    @Nested
    @DisplayName("when workers crash under a task")
    inner class Crashes {
        private fun crash(
            crash: WorkerCrash,
            vararg lost: RunId,
        ) = state.apply(FlowCommand.Ended(lost.map { end(it, RunOutcome.LOST) }, 0, crash = crash))

        private fun crashAtStart(number: Int) {
            assign(run("a", number = number))
            crash(WorkerCrash(starting = listOf(run("a", number = number))), run("a", number = number))
        }

        @Test
        fun `gives the task up after the second crash at its start, also from a snapshot`() {
            submit("a", step(2))
            crashAtStart(1)
            expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
            state.restore(state.snapshot())
            crashAtStart(2)
            expectThat(phase("a")).isEqualTo(JobPhase.FAILED)
            expectThat(assign(run("a", number = 3))).isEqualTo(0)
        }

        @Test
        fun `counts a crash once that two leaders report`() {
            submit("a", step())
            crashAtStart(1)
            repeat(3) { crash(WorkerCrash(starting = listOf(run("a")))) }
            expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
        }

        @Test
        fun `needs five crashes when starts of other jobs came at the same time or its own are not confirmed`() {
            submit("a", step())
            submit("b", step())
            for (number in 1..5) {
                expectThat(phase("a")).isNotEqualTo(JobPhase.FAILED)
                assign(run("a", number = number), run("b", number = number))
                val runs = listOf(run("a", number = number), run("b", number = number))
                crash(WorkerCrash(unconfirmed = runs), *runs.toTypedArray())
            }
            expectThat(phase("a")).isEqualTo(JobPhase.FAILED)
        }

        @Test
        fun `counts nothing for a task that is done or a job that is cancelled`() {
            submit("a", step(2))
            assign(run("a"))
            reportEnd(run("a"))
            repeat(5) { crash(WorkerCrash(starting = listOf(run("a", number = it + 1)))) }
            expectThat(phase("a")).isEqualTo(JobPhase.RUNNING)
            state.apply(FlowCommand.Cancel("a", 5))
            repeat(5) { crash(WorkerCrash(starting = listOf(run("a", index = 1, number = it + 1)))) }
            expectThat(phase("a")).isEqualTo(JobPhase.CANCELLED)
        }
    }

    @Nested
    @DisplayName("for a gang")
    inner class Gang {
        @Test
        fun `completes the step when one member is done`() {
            submit("g", step(2, gang = true))
            assign(run("g", index = 0), run("g", index = 1))
            reportEnd(run("g", index = 1))
            expectThat(phase("g")).isEqualTo(JobPhase.COMPLETED)
        }

        @Test
        fun `counts one attempt when two members fail in the same run`() {
            submit("g", step(2, gang = true))
            assign(run("g", index = 0), run("g", index = 1))
            reportEnd(run("g", index = 0), RunOutcome.FAILED)
            reportEnd(run("g", index = 1), RunOutcome.FAILED)
            expectThat(phase("g")).isEqualTo(JobPhase.RUNNING)
            assign(run("g", index = 0, number = 2), run("g", index = 1, number = 2))
            reportEnd(run("g", index = 0, number = 2), RunOutcome.FAILED)
            expectThat(phase("g")).isEqualTo(JobPhase.FAILED)
        }

        @Test
        fun `shares the failure count of one member with all members`() {
            submit("g", step(2, gang = true))
            for (number in 1..2) {
                expectThat(assign(run("g", index = 0, number = number), run("g", index = 1, number = number))).isEqualTo(2)
                reportEnd(run("g", index = 0, number = number), RunOutcome.FAILED)
                reportEnd(run("g", index = 1, number = number), RunOutcome.GANG_BROKEN)
            }
            expectThat(phase("g")).isEqualTo(JobPhase.FAILED)
        }
    }
}
