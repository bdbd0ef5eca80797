package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * A job as it was handed in.
 *
 * @property id chosen by its caller; a second request with it is the same job.
 * @property payload handed to every task as it is.
 */
@Serializable
data class JobRequest(
    val id: String,
    val queue: String,
    val team: String,
    val payload: String,
    val steps: List<StepSpec>,
)

/**
 * Tasks of a job that are alike.
 *
 * @property after earlier steps whose tasks must all be done first.
 * @property gang whether the tasks run only together, under one run number.
 * @property checkpointing whether a task that ends early can go on from where it was.
 * @property rackLocal whether the tasks are slowed down when they are spread over racks.
 * @property label that a worker must carry; empty for none.
 * @property dataRack rack near which the tasks are faster; empty for none.
 * @property spreadLimit most tasks of the step on one worker; 0 for no limit.
 * @property speculative whether copies of a task may run side by side.
 * @property lasting whether the tasks run until the job is cancelled.
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
