package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.Tier
import rhubarbknot.core.overload.WorkRank
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.Job
import rhubarbknot.flow.state.Task

/**
 * A step with tasks that wait to be started, as found when the steps were collected. Which tasks wait is looked up when it is asked for.
 *
 * @property expectedMillis expected duration of one of its tasks.
 * @property tier its tier when it was collected.
 * @property rank its position in the order of its pool.
 * @property readyAt when the step was first found ready.
 * @param collectedAt when it was collected; tasks whose restarts are delayed beyond that don't wait yet.
 */
internal class WaitingStep(
    val job: Job,
    val queue: Queue,
    val index: Int,
    private val runs: RunTracker,
    private val repeated: RepeatedFailures,
    val expectedMillis: Long,
    val tier: Tier,
    val rank: WorkRank,
    val readyAt: Long,
    private val collectedAt: Long,
) {
    val key = StepKey(job.id, index)
    val team: String get() = job.request.team
    val spec: StepSpec = job.request.steps[index]
    val tasks: List<Task> get() = job.steps[index].tasks

    /** Whether the step's starts are kept apart from those of other jobs, since a task may crash its workers. */
    val isSuspect: Boolean = job.isCrashSuspect(index)

    /** Number of tasks that may start; 0 once the job is over, and for a gang while a restart is delayed. */
    val waitingCount: Int
        get() {
            if (job.phase.isFinal) return 0
            val withoutRun = job.unassignedCount(index) - (runs.ofStep(key)?.proposedCount ?: 0)
            val delayed = repeated.delayedCount(key, collectedAt)
            return if (spec.gang && delayed > 0) 0 else withoutRun - delayed
        }

    /** Indices of the tasks that may start. */
    fun waiting(): Sequence<Int> =
        generateSequence(nextUnassigned(0)) { nextUnassigned(it + 1) }.filter {
            runs.of(taskId(it)) == null && !repeated.isDelayed(key, it, collectedAt)
        }

    private fun nextUnassigned(from: Int): Int? = job.nextUnassigned(index, from).takeIf { it >= 0 }

    fun taskId(task: Int): TaskId = TaskId(job.id, 0, index, task)
}
