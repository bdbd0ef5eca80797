package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/** Where tasks have failed, so that the next attempt is made somewhere else while there is somewhere else. */
internal class StepFailures {
    private val byStep = HashMap<StepKey, HashSet<WorkerIncarnation>>()

    fun failed(
        task: TaskId,
        worker: WorkerIncarnation,
    ) {
        byStep.getOrPut(StepKey(task.job, task.step)) { HashSet() }.add(worker)
    }

    /** Workers on which a task of [step] failed. */
    fun of(step: StepKey): Set<WorkerIncarnation> = byStep[step].orEmpty()

    fun forget(job: String) {
        if (byStep.isNotEmpty()) byStep.keys.removeIf { it.job == job }
    }
}
