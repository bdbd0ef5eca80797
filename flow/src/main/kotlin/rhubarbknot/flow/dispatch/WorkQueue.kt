package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job
import rhubarbknot.flow.state.Task

/**
 * A step with tasks that wait to be started.
 *
 * @property waiting indices of the waiting tasks.
 * @property latestStart latest start with which the job is expected to meet its objective.
 * @property readyAt when the step was first found ready.
 */
internal class WaitingStep(
    val job: Job,
    val queue: Queue,
    val index: Int,
    val waiting: List<Int>,
    val tier: Tier,
    val latestStart: Long,
    val readyAt: Long,
) {
    val key: StepKey get() = StepKey(job.id, index)
    val team: String get() = job.request.team
    val spec: StepSpec get() = job.request.steps[index]
    val tasks: List<Task> get() = job.steps[index].tasks

    /** Whether the step's starts are kept apart from those of other jobs, since a task may crash its workers. */
    val isSuspect: Boolean = job.steps[index].isCrashSuspect

    /** Highest number of failures among the waiting tasks; 0 for a lasting step, whose attempts are not limited. */
    val failures: Int = if (spec.lasting) 0 else waiting.maxOf { tasks[it].failures }

    /** Highest number of workers that crashed under one of its tasks. */
    val crashes: Int = job.steps[index].crashes

    fun taskId(task: Int): TaskId = TaskId(job.id, 0, index, task)
}

/**
 * Orders waiting steps for the case that there is more work than capacity. Urgent queues go first. Within a queue
 * priority, steps that can still meet their objective precede late ones, and the least slack goes first. Jobs beyond the
 * share of their team and jobs without remaining value wait behind all others. Every accepted job runs eventually.
 */
internal class WorkQueue(
    private val state: FlowState,
    private val durations: RunDurationEstimator,
) {
    private val rates = TeamSubmissionRates()
    private val beyondShare = HashSet<String>()
    private val timings = HashMap<String, JobTiming>()

    /** Records that the job [id] of [team] was accepted at [now]. */
    fun submitted(
        id: String,
        team: String,
        now: Long,
    ) {
        val weight = state.configuration?.team(team)?.weight ?: return
        if (rates.exceedsShare(team, weight, now)) beyondShare.add(id)
    }

    /** Steps with waiting tasks at [now] in scheduling order; tasks with a run in [runs] count as started. */
    fun waiting(
        configuration: Configuration,
        runs: RunTracker,
        now: Long,
    ): List<WaitingStep> {
        val queues = configuration.queues.associateBy { it.name }
        val collected = ArrayList<WaitingStep>()
        state.liveJobs.forEach { job ->
            val queue = queues[job.request.queue]
            if (queue != null && !job.phase.isFinal) collect(job, queue, runs, now, collected)
        }
        collected.sortWith(order)
        return collected
    }

    private fun collect(
        job: Job,
        queue: Queue,
        runs: RunTracker,
        now: Long,
        collected: ArrayList<WaitingStep>,
    ) {
        job.steps.forEachIndexed { index, step ->
            // Most live jobs have a run of every task that is left.
            if (step.isDone || runs.countOfStep(StepKey(job.id, index)) >= step.left || !job.isReady(index)) return@forEachIndexed
            val waiting =
                step.tasks.indices.filter { i ->
                    val task = step.tasks[i]
                    !task.done && task.worker == null && runs.of(TaskId(job.id, 0, index, i)) == null
                }
            if (waiting.isEmpty()) return@forEachIndexed
            val timing = timings.getOrPut(job.id) { JobTiming.of(job, queue, durations) }
            val tier = if (job.id in beyondShare) maxOf(Tier.BEYOND_SHARE, timing.tier(index, now)) else timing.tier(index, now)
            val readyAt = timing.readyAt(index, now)
            collected += WaitingStep(job, queue, index, waiting, tier, timing.latestStart(index), readyAt)
        }
    }

    /** Removes the cached data of finished jobs once enough of it has accumulated. */
    fun removeFinished() {
        if (timings.size <= MAX_FINISHED_JOBS + state.liveJobCount) return
        val isFinished = { id: String -> state.job(id)?.phase?.isFinal ?: true }
        timings.keys.removeIf(isFinished)
        beyondShare.removeIf(isFinished)
    }

    private companion object {
        const val MAX_FINISHED_JOBS = 500
        val order =
            compareBy<WaitingStep>(
                { it.tier >= Tier.BEYOND_SHARE },
                { it.queue.priority },
                { it.tier },
                { it.failures },
                { it.crashes },
                { it.latestStart },
            )
    }
}
