package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * A job as submitted.
 *
 * @property id chosen by the caller; a second submission with the same id refers to the same job.
 * @property payload passed unchanged to every task.
 */
@Serializable
data class JobRequest(
    val id: String,
    val queue: String,
    val team: String,
    val payload: String,
    val steps: List<StepSpec>,
) {
    companion object {
        /** Largest number of tasks of all steps together: each is an object in the memory of every control node. */
        const val MAX_TASKS = 10_000
    }
}

/**
 * A step of a job: a number of identical tasks.
 *
 * @property after indexes of earlier steps that must be complete before this one starts.
 * @property gang whether the tasks only run together, under one run number (gang scheduling).
 * @property checkpointing whether a task that ends early can resume from a checkpoint.
 * @property rackLocal whether the tasks run slower when spread over several racks.
 * @property label required of a worker; empty for none.
 * @property dataRack rack that holds the input data, where the tasks run faster; empty for none.
 * @property spreadLimit maximum number of tasks of the step on one worker; 0 for no limit.
 * @property speculative whether several copies of a task may run at the same time.
 * @property lasting whether the tasks run until the job is cancelled, as those of a service do.
 */
@Serializable
data class StepSpec(
    val count: Int,
    val demand: Resources,
    val estimatedMillis: Long = 0,
    val after: List<Int> = emptyList(),
    val gang: Boolean = false,
    val checkpointing: Boolean = false,
    val rackLocal: Boolean = false,
    val label: String = "",
    val dataRack: String = "",
    val spreadLimit: Int = 0,
    val speculative: Boolean = false,
    val lasting: Boolean = false,
)
