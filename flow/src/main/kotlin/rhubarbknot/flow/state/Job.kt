package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/** What callers are told of a job. */
@Serializable
enum class JobPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED,
    ;

    val isFinal: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}

/**
 * One task.
 *
 * @property run number of its newest run; 0 before the first.
 * @property worker where the newest run may be; null when it is surely over.
 * @property failures runs that ended as failed; the members of a gang share one count.
 * @property failedRun newest run that was counted as failed.
 */
@Serializable
class Task(
    var run: Int = 0,
    var worker: WorkerIncarnation? = null,
    var done: Boolean = false,
    var failures: Int = 0,
    var failedRun: Int = 0,
    var checkpoint: String = "",
)

/** One step of a job with its tasks. */
@Serializable
class Step(
    val tasks: List<Task>,
    var left: Int = tasks.size,
) {
    val isDone: Boolean get() = left == 0
}

/**
 * One job.
 *
 * @property request without payload and steps once the job is over and nothing of it can run any more.
 * @property steps empty from then on, too.
 */
@Serializable
class Job(
    var request: JobRequest,
    val acceptedAtMillis: Long,
    var steps: List<Step>,
    var phase: JobPhase = JobPhase.QUEUED,
    var finishedAtMillis: Long = 0,
) {
    val id: String get() = request.id

    /** Whether all steps that step [index] waits for are done. */
    fun isReady(index: Int): Boolean = request.steps[index].after.all { steps[it].isDone }

    fun task(id: TaskId): Task? = steps.getOrNull(id.step)?.tasks?.getOrNull(id.index)

    /** Whether a run of any of its tasks may still exist. */
    fun mayRun(): Boolean = steps.any { step -> step.tasks.any { it.worker != null } }
}
