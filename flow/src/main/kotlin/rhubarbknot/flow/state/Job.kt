package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerCrash
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
 * State of one task. Only its [Job] changes it.
 *
 * @property run number of the latest run; 0 before the first.
 * @property worker worker on which the latest run may exist; null once that run is known to have ended.
 * @property failures number of failed runs; the members of a gang share the count of the first one.
 * @property failedRun number of the latest run that was counted as failed.
 * @property checkpoint latest checkpoint; the members of a gang share that of the first one.
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
}

/**
 * State of one job. Its cost for each event is bounded by the steps that the event concerns, not by the size of the job.
 *
 * @property request the submitted request; payload and steps are dropped once the job is final and none of its runs may
 *   exist.
 * @property steps state of the steps; emptied at the same time.
 * @property queueIndex position of its queue among those of the snapshot that holds the job; -1 for none.
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
    internal var queueIndex: Int = -1,
) {
    @Transient
    private var progress = if (steps.isEmpty()) JobProgress.NONE else JobProgress(request.steps, steps)

    /** The queue that accepted the job; null once the job is over. */
    @Transient
    internal var accepted: AcceptedQueue? = null

    /** Settings of the queue of the job; null once the job is over. They outlive the queue's configuration. */
    val queue: Queue? get() = accepted?.queue

    /** Estimated heap that the job takes on a control node. */
    @Transient
    internal var heldBytes = 0L

    /** Position among the accepted jobs. */
    @Transient
    internal var sequence = 0L

    val id: String get() = request.id

    /** Whether the job is unfinished and no run of it is known to have started. */
    val isPending: Boolean get() = !phase.isFinal && !started

    /** Whether all steps are done. */
    val isDone: Boolean get() = progress.stepsLeft == 0

    /** Whether a run of any task may still exist on a worker. */
    val mayHaveActiveRuns: Boolean get() = progress.activeRuns > 0

    /** Whether a step whose dependencies are done has tasks without a worker. */
    val hasStartableSteps: Boolean get() = !phase.isFinal && progress.hasStartableSteps

    /** Whether all steps that step [index] depends on are done. */
    fun isReady(index: Int): Boolean = progress.isReady(index)

    /** Index of the first step from [from] on whose dependencies are done and that has tasks without a worker; -1 for none. */
    fun nextStartableStep(from: Int): Int = if (phase.isFinal) -1 else progress.nextStartableStep(from)

    /** Number of tasks of step [index] that are not done and have no worker. */
    fun unassignedCount(index: Int): Int = progress.step(index).unassignedCount

    /** Index of the first task of step [index] from [from] on that is not done and has no worker; -1 for none. */
    fun nextUnassigned(
        index: Int,
        from: Int,
    ): Int = progress.step(index).nextUnassigned(from)

    /** Highest number of failures of one task of step [index] that waits to be started. */
    fun failures(index: Int): Int = if (request.steps[index].gang) steps[index].tasks.first().failures else progress.step(index).maxFailures

    /** Highest number of workers that crashed under one task of step [index] that is not done. */
    fun crashes(index: Int): Int = progress.step(index).maxCrashes

    /** Whether a task of step [index] that is not done may crash the workers that start it. */
    fun isCrashSuspect(index: Int): Boolean = progress.step(index).isCrashSuspect

    fun task(id: TaskId): Task? = steps.getOrNull(id.step)?.tasks?.getOrNull(id.index)

    /** Checkpoint from which the next run of task [id] resumes; empty for none. */
    fun checkpoint(id: TaskId): String = sharedTask(id)?.checkpoint.orEmpty()

    /** Whether the state of a task shows that a run of it has started. Snapshots of earlier versions do not hold [started]. */
    fun hasStartedTask(): Boolean = steps.any { step -> step.left < step.tasks.size || step.tasks.any { it.hasStarted } }

    /** Assigns [run] to [worker]; returns false if the state does not allow it. */
    internal fun assign(
        run: RunId,
        worker: WorkerIncarnation,
    ): Boolean {
        val id = run.task
        val task = task(id) ?: return false
        val isAssignable = !phase.isFinal && isReady(id.step) && !task.done && task.worker == null
        if (!isAssignable || run.number <= task.run) return false
        task.run = run.number
        task.worker = worker
        progress.step(id.step).remove(id.index, task)
        progress.runAssigned(id.step)
        return true
    }

    /** Records that the latest run of task [id] has ended; returns the worker on which it may have existed. */
    internal fun release(id: TaskId): WorkerIncarnation? {
        val task = task(id) ?: return null
        val worker = task.worker ?: return null
        task.worker = null
        if (!task.done) progress.step(id.step).unassign(id.index, task)
        progress.runReleased(id.step)
        return worker
    }

    /** Records that task [id], or the gang that it belongs to, is done. */
    internal fun markDone(id: TaskId) {
        val step = steps[id.step]
        if (step.isDone) return
        if (isGang(id)) step.tasks.indices.forEach { markTaskDone(id.step, it) } else markTaskDone(id.step, id.index)
        progress.taskDone(id.step)
    }

    private fun markTaskDone(
        stepIndex: Int,
        index: Int,
    ) {
        val step = steps[stepIndex]
        val task = step.tasks[index]
        if (task.done) return
        task.done = true
        step.left--
        val stepProgress = progress.step(stepIndex)
        stepProgress.remove(index, task)
        task.crashRecord?.let { stepProgress.removeCrashes(it) }
    }

    /**
     * Counts the failure of the latest run of task [id] and returns the number of its failures; null if it was counted before: several
     * members of a gang may fail in the same run.
     */
    internal fun countFailure(id: TaskId): Int? {
        val run = task(id)?.run ?: return null
        val shared = sharedTask(id) ?: return null
        if (shared.failedRun == run) return null
        shared.failedRun = run
        progress.step(id.step).countFailure(id.index, shared)
        return shared.failures
    }

    /** Counts a [crash] of a worker under [run], whose task is not done; returns whether the task is given up. */
    internal fun countCrash(
        crash: WorkerCrash,
        run: RunId,
    ): Boolean {
        val task = task(run.task) ?: return false
        val record = task.crashRecord ?: CrashRecord().also { task.crashRecord = it }
        progress.step(run.task.step).changeCrashes(record) { it.add(crash, run) }
        return record.isOverLimit
    }

    /** Stores the checkpoint of a run of task [id]. */
    internal fun storeCheckpoint(
        id: TaskId,
        checkpoint: String,
    ) {
        sharedTask(id)?.checkpoint = checkpoint
    }

    /** Drops what is only needed while runs may exist. */
    internal fun retire() {
        steps = emptyList()
        request = request.copy(payload = "", steps = emptyList())
        progress = JobProgress.NONE
    }

    /** Moves what the members of gangs share to their first tasks: snapshots of earlier versions hold it at each member. */
    internal fun normaliseGangs() =
        steps.forEachIndexed { i, step ->
            if (!request.steps[i].gang) return@forEachIndexed
            val shared = step.tasks.first()
            shared.failures = step.tasks.maxOf { it.failures }
            shared.failedRun = step.tasks.maxOf { it.failedRun }
            if (shared.checkpoint.isEmpty()) shared.checkpoint = step.tasks.maxOf { it.checkpoint }
        }

    private fun isGang(id: TaskId) = request.steps[id.step].gang

    /** The task that holds what the members of a gang share; the task itself outside of gangs. */
    private fun sharedTask(id: TaskId): Task? {
        val step = steps.getOrNull(id.step) ?: return null
        return if (isGang(id)) step.tasks.first() else step.tasks.getOrNull(id.index)
    }
}
