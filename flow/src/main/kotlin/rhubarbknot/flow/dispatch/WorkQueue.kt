package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job
import rhubarbknot.flow.state.Task

/**
 * A step with tasks to be started.
 *
 * @property waiting indices of these tasks.
 * @property latestStart when they must start at the latest for the job to be in time.
 * @property readyAt when they were first seen to wait.
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

    /** Most failures of one of its waiting tasks. */
    val failures: Int = waiting.maxOf { tasks[it].failures }

    fun taskId(task: Int): TaskId = TaskId(job.id, 0, index, task)
}

/**
 * Decides whose tasks go first. Answers the load pattern of more work than room: what is urgent goes first, then what
 * can still be in time before what can't, least slack first; what a team sent beyond its share, and what is of no more
 * use to its caller, wait behind the rest. Everything accepted runs in the end.
 */
internal class WorkQueue(
    private val state: FlowState,
    private val times: RunDurationEstimator,
) {
    private val rates = TeamSubmissionRates()
    private val beyondShare = HashSet<String>()
    private val timings = HashMap<String, JobTiming>()

    /** The job called [id] of [team] was accepted at [now]. */
    fun submitted(
        id: String,
        team: String,
        now: Long,
    ) {
        val weight = state.configuration?.team(team)?.weight ?: return
        if (rates.isBeyond(team, weight, now)) beyondShare.add(id)
    }

    /** Steps with tasks to be started at [now], in the order in which they should be; [runs] are counted as started. */
    fun waiting(
        configuration: Configuration,
        runs: RunTracker,
        now: Long,
    ): List<WaitingStep> {
        val queues = configuration.queues.associateBy { it.name }
        val out = ArrayList<WaitingStep>()
        state.liveJobs.forEach { job ->
            val queue = queues[job.request.queue]
            if (queue != null && !job.phase.isFinal) collect(job, queue, runs, now, out)
        }
        out.sortWith(order)
        return out
    }

    private fun collect(
        job: Job,
        queue: Queue,
        runs: RunTracker,
        now: Long,
        out: ArrayList<WaitingStep>,
    ) {
        job.steps.forEachIndexed { index, step ->
            if (step.isDone || !job.isReady(index)) return@forEachIndexed
            val waiting =
                step.tasks.indices.filter { i ->
                    val task = step.tasks[i]
                    !task.done && task.worker == null && runs.of(TaskId(job.id, 0, index, i)) == null
                }
            if (waiting.isEmpty()) return@forEachIndexed
            val timing = timings.getOrPut(job.id) { JobTiming.of(job, queue, times) }
            val tier = if (job.id in beyondShare) maxOf(Tier.BEYOND_SHARE, timing.tier(index, now)) else timing.tier(index, now)
            out += WaitingStep(job, queue, index, waiting, tier, timing.latestStart(index), timing.readyAt(index, now))
        }
    }

    /** Forgets jobs that are over. */
    fun forgetFinished() {
        if (timings.size <= MOST_REMEMBERED + state.liveJobCount) return
        val isOver = { id: String -> state.job(id)?.phase?.isFinal ?: true }
        timings.keys.removeIf(isOver)
        beyondShare.removeIf(isOver)
    }

    private companion object {
        const val MOST_REMEMBERED = 500
        val order =
            compareBy<WaitingStep>(
                { it.tier >= Tier.BEYOND_SHARE },
                { it.queue.priority },
                { it.tier },
                { it.failures },
                { it.latestStart },
            )
    }
}
