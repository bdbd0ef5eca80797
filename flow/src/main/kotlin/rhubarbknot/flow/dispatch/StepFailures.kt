package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/** Remembers on which workers a step failed, so that its next attempt runs on another worker if there is one. */
internal class StepFailures {
    private val byStep = HashMap<StepKey, HashSet<WorkerIncarnation>>()

    fun record(
        task: TaskId,
        worker: WorkerIncarnation,
    ) {
        byStep.getOrPut(StepKey(task.job, task.step)) { HashSet() }.add(worker)
    }

    /** Workers on which a task of [step] has failed. */
    fun of(step: StepKey): Set<WorkerIncarnation> = byStep[step].orEmpty()

    fun removeJob(job: String) {
        if (byStep.isNotEmpty()) byStep.keys.removeIf { it.job == job }
    }
}
