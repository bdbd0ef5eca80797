package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/** Phase of a job as reported to callers. */
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
 * State of one task.
 *
 * @property run number of the latest run; 0 before the first.
 * @property worker worker on which the latest run may exist; null once that run is known to have ended.
 * @property failures number of failed runs; the members of a gang share one count.
 * @property failedRun number of the latest run that was counted as failed.
 * @property crashRecord crashes of workers that ran the task; null for none.
 */
@Serializable
class Task(
    var run: Int = 0,
    var worker: WorkerIncarnation? = null,
    var done: Boolean = false,
    var failures: Int = 0,
    var failedRun: Int = 0,
    var checkpoint: String = "",
    var crashRecord: CrashRecord? = null,
) {
    /** Whether an end or a checkpoint shows that a run has started. */
    val hasStarted: Boolean get() = done || failures > 0 || checkpoint.isNotEmpty()
}

/** State of one step of a job and its tasks. */
@Serializable
class Step(
    val tasks: List<Task>,
    var left: Int = tasks.size,
) {
    val isDone: Boolean get() = left == 0

    /** Whether a task that is not done may crash the workers that start it. */
    val isCrashSuspect: Boolean get() = tasks.any { !it.done && it.crashRecord?.isSuspect == true }

    /** Highest number of workers that crashed under one task that is not done. */
    val crashes: Int get() = tasks.maxOf { if (it.done) 0 else it.crashRecord?.crashes ?: 0 }
}

/**
 * State of one job.
 *
 * @property request the submitted request; payload and steps are dropped once the job is final and none of its runs may
 *   exist.
 * @property steps state of the steps; emptied at the same time.
 * @property started whether a worker is known to have started a run of any task.
 */
@Serializable
class Job(
    var request: JobRequest,
    val acceptedAtMillis: Long,
    var steps: List<Step>,
    var phase: JobPhase = JobPhase.QUEUED,
    var finishedAtMillis: Long = 0,
    var started: Boolean = false,
) {
    val id: String get() = request.id

    /** Whether the job is unfinished and no run of it is known to have started. */
    val isPending: Boolean get() = !phase.isFinal && !started

    /** Whether all steps that step [index] depends on are done. */
    fun isReady(index: Int): Boolean = request.steps[index].after.all { steps[it].isDone }

    fun task(id: TaskId): Task? = steps.getOrNull(id.step)?.tasks?.getOrNull(id.index)

    /** Whether the state of a task shows that a run of it has started. Snapshots of earlier versions do not hold [started]. */
    fun hasStartedTask(): Boolean = steps.any { step -> step.left < step.tasks.size || step.tasks.any { it.hasStarted } }

    /** Whether a run of any task may still exist on a worker. */
    fun mayHaveActiveRuns(): Boolean = steps.any { step -> step.tasks.any { it.worker != null } }
}
