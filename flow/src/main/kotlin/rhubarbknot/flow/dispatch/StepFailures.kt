package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/**
 * Remembers for a while on which workers a step failed, so that its next attempt runs on another worker if there is one. Only
 * for a while, since the other workers may not be able to hold the step.
 */
internal class StepFailures {
    private val byStep = HashMap<StepKey, HashMap<WorkerIncarnation, Long>>()

    /** Records that [task] failed on [worker] at [now]. */
    fun record(
        task: TaskId,
        worker: WorkerIncarnation,
        now: Long,
    ) {
        byStep.getOrPut(StepKey(task.job, task.step)) { HashMap() }[worker] = now
    }

    /** Workers on which a task of [step] has failed shortly before [now]. */
    fun of(
        step: StepKey,
        now: Long,
    ): Set<WorkerIncarnation> = byStep[step]?.filterValues { now - it < MEMORY_MILLIS }?.keys.orEmpty()

    fun removeJob(job: String) {
        if (byStep.isNotEmpty()) byStep.keys.removeIf { it.job == job }
    }

    private companion object {
        /** Shorter than the time for which a job may stand still while there is capacity for it. */
        const val MEMORY_MILLIS = 2_000L
    }
}
