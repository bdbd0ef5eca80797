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

/** A task that holds resources of an executor. */
@Serializable
class Task(
    val index: Int,
    val number: Int,
    val slot: Int,
    val startedAt: Long,
    val failures: Int = 0,
    /** When it will have ended, by the estimate at its start; [startedAt] when nothing is known. */
    val expectedEnd: Long = startedAt,
) {
    /** How it was asked to stop, if it was. */
    var stop: StopMode? = null
    var stopAt: Long = 0

    @Transient
    lateinit var job: Job

    val attempt: AttemptId get() = AttemptId(job.id, index, number)
}

/**
 * A task that waits for another try.
 *
 * @property tries number of its last attempt.
 * @property failures attempts that ended with an error of their own.
 */
@Serializable
data class Retry(
    val index: Int,
    val tries: Int,
    val failures: Int = 0,
)

/** A task that may have run: its executor was lost with it. */
@Serializable
data class LostTask(
    val index: Int,
    val number: Int,
    val executor: ExecutorId,
    val incarnation: String,
)

/** What a task answered. */
@Serializable
data class TaskAnswer(
    val index: Int,
    val text: String,
)

/** How far a job's move to another zone has come. */
@Serializable
enum class HandoverStage {
    /** The other zone has been asked. */
    OFFERED,

    /** The other zone has the job on disk. */
    ADOPTED,

    /** The other zone runs it, or the wait for that is over; nothing is started or kept here. */
    DONE,
}

/**
 * Where a job that leaves this zone goes.
 *
 * @property replicas tasks that waited or ran when the move began.
 * @property stopBy when a service stops here at the latest, whether or not its replacement is up.
 */
@Serializable
data class Handover(
    val zone: ZoneId,
    val stage: HandoverStage,
    val stopBy: Long,
    val replicas: Int,
)

/** A job on its way to another zone, with everything it has come to. */
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
 * A job with its tasks. Lists that most jobs never need are null until they do, to keep a running task small.
 *
 * @property seq order of acceptance in this cell.
 * @property fingerprint tells whether a resend asks for the same.
 * @property firstTries attempts that another zone made before; attempt numbers go on from there.
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
    /** Tasks from this index on were never started. */
    var nextTask = 0
    val active = ArrayList<Task>(1)
    var retries: ArrayList<Retry>? = null
    var lost: ArrayList<LostTask>? = null
    var answers: ArrayList<TaskAnswer>? = null
    var failedOn: ArrayList<ExecutorId>? = null
    var waits: ArrayList<WaitInterval>? = null
    var completed = 0
    var failed = 0

    /** Attempts that may have run, also those that were stopped or lost since. */
    var begun = 0
    var failure: String? = null
    var cancelled = false
    var outcome: Outcome? = null
    var finishedAt = 0L

    /** When the present wait began; negative while nothing of the job waits. */
    var waitingSince = acceptedAt

    /** A reason of the job's own for the present wait, which goes before the one of its lane. */
    var ownReason: WaitReason? = null

    /** Since when no executor is large enough; 0 while one is. */
    var misfitSince = 0L

    /** Estimated run time of a task when the job was last queued; 0 when nothing is known. */
    var estimateMillis = 0L

    /** By how much later than it came the job takes its place in the queue; set when it is queued. */
    var placedBehindMillis = 0L

    /** Until when no try is made. */
    var notBefore = 0L
    var handover: Handover? = null

    @Transient
    lateinit var lane: TeamBacklog

    /** [pending] as the lane has counted it. */
    @Transient
    var countedPending = 0

    /** Whether the job stands in its lane's queue. */
    @Transient
    var queued = false

    val kind: ExecutorKind get() = if (spec.kind == WorkKind.CALL) ExecutorKind.ENDPOINT else ExecutorKind.WORKER
    val pending: Int get() = if (isOver || handover != null) 0 else spec.tasks - nextTask + (retries?.size ?: 0)
    val isOver: Boolean get() = outcome != null || cancelled
    val unresolved: Int get() = active.size + (lost?.size ?: 0)

    /** Whether any part may have run; nobody may be told otherwise then. */
    val touched: Boolean get() = begun > 0

    fun activeTask(
        index: Int,
        number: Int,
    ): Task? = active.firstOrNull { it.index == index && it.number == number }

    /** Takes the next task that waits: the index and how often it was tried. */
    fun takePending(): Retry {
        val again = retries
        if (again.isNullOrEmpty()) return Retry(nextTask++, firstTries)
        return again.removeAt(0).also { if (again.isEmpty()) retries = null }
    }

    fun requeue(retry: Retry) {
        val list = retries ?: ArrayList<Retry>(1).also { retries = it }
        list.add(retry)
    }
}
