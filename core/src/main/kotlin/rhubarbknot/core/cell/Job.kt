package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId

/** A started task, which holds resources of an executor. */
@Serializable
class Task(
    val index: Int,
    val number: Int,
    val slot: Int,
    val startedAt: Long,
    val failures: Int = 0,
    /** Estimated end, computed at the start; [startedAt] if there is no estimate. */
    val expectedEnd: Long = startedAt,
    val executorLosses: Int = 0,
) {
    /** How the task was asked to stop; null if it was not. */
    var stop: StopMode? = null
    var stopAt: Long = 0

    @Transient
    lateinit var job: Job

    val attempt: AttemptId get() = AttemptId(job.id, index, number)
}

/**
 * A task that waits for another attempt.
 *
 * @property tries number of its last attempt.
 * @property failures number of attempts that failed by themselves, as opposed to being stopped or lost.
 * @property executorLosses number of attempts in a row whose executors ended shortly after the start.
 */
@Serializable
data class Retry(
    val index: Int,
    val tries: Int,
    val failures: Int = 0,
    val executorLosses: Int = 0,
)

/** A task whose executor was lost, so that it may or may not have run. */
@Serializable
data class LostTask(
    val index: Int,
    val number: Int,
    val executor: ExecutorId,
    val incarnation: String,
)

/** The result of a task. */
@Serializable
data class TaskAnswer(
    val index: Int,
    val text: String,
)

/** Progress of a job's handover to another zone. */
@Serializable
enum class HandoverStage {
    /** The job is being offered to the other zone. */
    OFFERED,

    /** The other zone has stored the job durably. */
    ADOPTED,

    /** Nothing of the job runs here any more; only the zone that it moved to is remembered. */
    DONE,
}

/**
 * The handover of a job to another zone.
 *
 * @property replicas tasks that were pending or running when the handover began.
 * @property stopBy time at which the tasks here are stopped, even if their replacements have not started.
 */
@Serializable
data class Handover(
    val zone: ZoneId,
    val stage: HandoverStage,
    val stopBy: Long,
    val replicas: Int,
)

/** A job with its progress, as it is sent to another zone. */
@Serializable
data class JobTransfer(
    val id: JobId,
    val queue: QueueId,
    val spec: JobSpec,
    val fingerprint: Long,
    val tries: Int,
    val nextTask: Int,
    val retries: List<Retry>,
    val completed: Int,
    val failed: Int,
    val begun: Int,
    val answers: List<TaskAnswer>,
    val waits: List<WaitInterval>,
)

/**
 * A job with its tasks. Lists that most jobs never need stay null until first used, to save memory.
 *
 * @property seq order of acceptance in this cell.
 * @property fingerprint hash of the request, by which a resubmission is told from another request with the same id.
 * @property firstTries last attempt number that another zone used; attempt numbers continue from there.
 */
@Serializable
class Job(
    val id: JobId,
    val seq: Long,
    val queue: QueueId,
    var spec: JobSpec,
    val acceptedAt: Long,
    val fingerprint: Long,
    val firstTries: Int = 0,
) {
    /** Index of the first task that was never started. */
    var nextTask = 0
    val active = ArrayList<Task>(1)
    var retries: ArrayList<Retry>? = null
    var lost: ArrayList<LostTask>? = null
    var answers: ArrayList<TaskAnswer>? = null
    var failedOn: ArrayList<ExecutorId>? = null
    var waits: ArrayList<WaitInterval>? = null
    var completed = 0
    var failed = 0

    /** Number of attempts that may have run, including those stopped or lost since. */
    var begun = 0
    var failure: String? = null
    var cancelled = false
    var outcome: Outcome? = null
    var finishedAt = 0L

    /** Start of the current wait; negative while no task is pending. */
    var waitingSince = acceptedAt

    /** Reason of the current wait that applies to this job alone; overrides that of its [backlog]. */
    var ownReason: WaitReason? = null

    /** Time since which no executor is large enough; 0 while there is one. */
    var misfitSince = 0L

    /** Estimated run time of a task, computed when the job was last queued; 0 if there is no estimate. */
    var estimateMillis = 0L

    /** Added to [acceptedAt] for the position in the queue; set when the job is queued. */
    var placedBehindMillis = 0L

    /** Earliest time of the next attempt. */
    var notBefore = 0L
    var handover: Handover? = null

    @Transient
    lateinit var backlog: TeamBacklog

    /** Value of [pending] that is included in the counters of [backlog]. */
    @Transient
    var countedPending = 0

    /** Whether the job is in a queue of its [backlog]. */
    @Transient
    var queued = false

    val kind: ExecutorKind get() = if (spec.kind == WorkKind.CALL) ExecutorKind.ENDPOINT else ExecutorKind.WORKER
    val pending: Int get() = if (isOver || handover != null) 0 else spec.tasks - nextTask + (retries?.size ?: 0)
    val isOver: Boolean get() = outcome != null || cancelled
    val unresolved: Int get() = active.size + (lost?.size ?: 0)

    /** Whether any task may have run. If so, the job must not be reported as not run. */
    val mayHaveRun: Boolean get() = begun > 0

    fun activeTask(
        index: Int,
        number: Int,
    ): Task? = active.firstOrNull { it.index == index && it.number == number }

    /** Removes and returns the next pending task; retries come before tasks that were never started. */
    fun takePending(): Retry {
        val waitingRetries = retries
        if (waitingRetries.isNullOrEmpty()) return Retry(nextTask++, firstTries)
        return waitingRetries.removeAt(0).also { if (waitingRetries.isEmpty()) retries = null }
    }

    fun requeue(retry: Retry) {
        val list = retries ?: ArrayList<Retry>(1).also { retries = it }
        list.add(retry)
    }
}
