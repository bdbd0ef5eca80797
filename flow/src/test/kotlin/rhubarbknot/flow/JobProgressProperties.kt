package rhubarbknot.flow

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import rhubarbknot.flow.FlowFixture.end
import rhubarbknot.flow.FlowFixture.request
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.SplittableRandom

/** Compares what a job keeps of its steps with a pass over all its tasks, under random commands. */
class JobProgressProperties {
    private data class StepView(
        val unassigned: List<Int>,
        val isStartable: Boolean,
        val failures: Int,
        val crashes: Int,
        val isCrashSuspect: Boolean,
    )

    @Property(seed = "20261206", tries = 200)
    fun `a job knows of its steps what a pass over all its tasks shows`(
        @ForAll seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val state = FlowState()
        state.apply(FlowCommand.Configure(FlowFixture.configuration(maxAttempts = 4)))
        repeat(JOBS) { state.apply(FlowCommand.Submit(request("j$it", *randomSteps(random).toTypedArray()), 0)) }
        repeat(COMMANDS) {
            state.apply(randomCommand(random, state))
            checkJobs(state)
        }
        val restored = FlowState().also { it.restore(state.snapshot()) }
        checkJobs(restored)
        repeat(JOBS) { i ->
            val (before, after) = listOf(state, restored).map { checkNotNull(it.job("j$i")) }
            expectThat(after.steps.indices.map { keptView(after, it) }).isEqualTo(before.steps.indices.map { keptView(before, it) })
        }
    }

    private fun randomSteps(random: SplittableRandom): List<StepSpec> =
        List(1 + random.nextInt(6)) { i ->
            val after = (0 until i).filter { random.nextInt(3) == 0 }
            FlowFixture.step(1 + random.nextInt(4), after = after, gang = random.nextInt(4) == 0).copy(lasting = random.nextInt(6) == 0)
        }

    private fun randomCommand(
        random: SplittableRandom,
        state: FlowState,
    ): FlowCommand {
        val job = checkNotNull(state.job("j${random.nextInt(JOBS)}"))
        if (job.steps.isEmpty() || random.nextInt(60) == 0) return FlowCommand.Cancel(job.id, 0)
        val step = random.nextInt(job.steps.size)
        val id = TaskId(job.id, 0, step, random.nextInt(job.steps[step].tasks.size))
        val run = RunId(id, job.task(id)?.run ?: 0)
        return when (random.nextInt(8)) {
            in 0..3 ->
                FlowCommand.Assign(
                    listOf(Assignment(run.copy(number = run.number + 1), WorkerIncarnation("w${random.nextInt(3)}", 1))),
                )
            4 -> FlowCommand.Ended(emptyList(), 0, crash = WorkerCrash(starting = listOf(run)))
            else -> {
                val outcome = RunOutcome.entries[random.nextInt(RunOutcome.entries.size)]
                FlowCommand.Ended(listOf(end(run, outcome, if (random.nextBoolean()) "saved" else "")), 0)
            }
        }
    }

    private fun checkJobs(state: FlowState) =
        repeat(JOBS) { i ->
            val job = checkNotNull(state.job("j$i"))
            job.steps.indices.forEach { step -> expectThat(keptView(job, step)).isEqualTo(computedView(job, step)) }
            expectThat(job.isDone).isEqualTo(job.steps.all { it.isDone })
            expectThat(job.mayHaveActiveRuns).isEqualTo(job.steps.any { step -> step.tasks.any { it.worker != null } })
            expectThat(state.nextStartableJob(job.sequence - 1) === job).isEqualTo(job.steps.indices.any { keptView(job, it).isStartable })
        }

    private fun keptView(
        job: Job,
        step: Int,
    ): StepView {
        val unassigned = generateSequence(job.nextUnassigned(step, 0)) { job.nextUnassigned(step, it + 1) }.takeWhile { it >= 0 }.toList()
        expectThat(job.unassignedCount(step)).isEqualTo(unassigned.size)
        val isStartable = job.nextStartableStep(step) == step
        return StepView(unassigned, isStartable, job.failures(step), job.crashes(step), job.isCrashSuspect(step))
    }

    private fun computedView(
        job: Job,
        step: Int,
    ): StepView {
        val spec = job.request.steps[step]
        val tasks = job.steps[step].tasks
        val unassigned = tasks.indices.filter { !tasks[it].done && tasks[it].worker == null }
        val isReady = spec.after.all { job.steps[it].isDone }
        val failures = if (spec.gang) tasks.first().failures else unassigned.maxOfOrNull { tasks[it].failures } ?: 0
        val records = tasks.filter { !it.done }.mapNotNull { it.crashRecord }
        return StepView(
            unassigned,
            !job.phase.isFinal && isReady && unassigned.isNotEmpty(),
            failures,
            records.maxOfOrNull { it.crashes } ?: 0,
            records.any { it.isSuspect },
        )
    }

    private companion object {
        const val JOBS = 3
        const val COMMANDS = 120
    }
}
