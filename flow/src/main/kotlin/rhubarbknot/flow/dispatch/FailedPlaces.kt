package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerLife

/** Where tasks have failed, so that the next attempt is made somewhere else while there is somewhere else. */
internal class FailedPlaces {
    private val byStep = HashMap<StepKey, HashSet<WorkerLife>>()

    fun failed(
        task: TaskId,
        worker: WorkerLife,
    ) {
        byStep.getOrPut(StepKey(task.job, task.step)) { HashSet() }.add(worker)
    }

    /** Workers on which a task of [step] failed. */
    fun of(step: StepKey): Set<WorkerLife> = byStep[step].orEmpty()

    fun forget(job: String) {
        if (byStep.isNotEmpty()) byStep.keys.removeIf { it.job == job }
    }
}
