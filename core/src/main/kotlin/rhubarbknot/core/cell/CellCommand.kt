package rhubarbknot.core.cell

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ZoneView

/**
 * One entry of a cell's log: commands that are applied together, followed by one scheduling pass.
 *
 * @property atMillis cell time, which continues across leader changes and never goes back.
 */
@Serializable
data class CellBatch(
    val atMillis: Long,
    val commands: List<CellCommand>,
)

/** A command that changes the state of a cell. */
@Serializable
sealed interface CellCommand {
    /** The part of the registry that concerns this zone. A version that is not newer than the present one is ignored. */
    @Serializable
    @SerialName("configure")
    data class Configure(
        val view: ZoneView,
    ) : CellCommand

    /** Sets whether the zone's lease from the registry has expired; no task may start then. */
    @Serializable
    @SerialName("hold")
    data class Hold(
        val held: Boolean,
    ) : CellCommand

    /** A new job, or the resubmission of one, which has the same [fingerprint] of everything that the caller sent. */
    @Serializable
    @SerialName("submit")
    data class Submit(
        val request: RequestId,
        val job: JobId,
        val queue: QueueId,
        val spec: JobSpec,
        val fingerprint: Long,
    ) : CellCommand

    /** Takes over a job from zone [from]. */
    @Serializable
    @SerialName("adopt")
    data class Adopt(
        val transfer: JobTransfer,
        val from: ZoneId,
    ) : CellCommand

    /** [zone] has taken over [job]; [up] once all tasks have started there. */
    @Serializable
    @SerialName("moved")
    data class Moved(
        val job: JobId,
        val zone: ZoneId,
        val up: Boolean,
    ) : CellCommand

    /** Cancels any number of jobs at once. */
    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val request: RequestId,
        val jobs: List<JobId>,
    ) : CellCommand

    /**
     * An executor registers, or registers again with a new leader.
     *
     * @property known every attempt that it runs, or that has ended without an acknowledgement. An attempt that is not in
     * the list never started there and never will, since its start names an older session.
     */
    @Serializable
    @SerialName("join")
    data class Join(
        val info: ExecutorInfo,
        val known: List<AttemptReport> = emptyList(),
    ) : CellCommand

    /** An executor stops taking new work. */
    @Serializable
    @SerialName("leave")
    data class Leave(
        val executor: ExecutorId,
    ) : CellCommand

    /** An executor's lease has expired by the executor's own clock, so nothing runs there any more. */
    @Serializable
    @SerialName("lose")
    data class ExecutorLost(
        val executor: ExecutorId,
        val incarnation: String,
    ) : CellCommand

    @Serializable
    @SerialName("ended")
    data class Ended(
        val executor: ExecutorId,
        val report: AttemptReport,
    ) : CellCommand

    /** [used] is the present resource usage of the attempt. */
    @Serializable
    @SerialName("usage")
    data class Usage(
        val attempt: AttemptId,
        val used: Resources,
    ) : CellCommand

    /** Only advances the time. */
    @Serializable
    @SerialName("tick")
    data object Tick : CellCommand
}

/** Kind of an executor. */
@Serializable
enum class ExecutorKind { WORKER, ENDPOINT }

/**
 * Description of an executor, as it registers.
 *
 * @property incarnation changes with every start of the executor's process.
 * @property session counts the executor's registrations; the executor refuses a start that names an older one.
 */
@Serializable
data class ExecutorInfo(
    val id: ExecutorId,
    val incarnation: String,
    val kind: ExecutorKind,
    val capacity: Resources,
    val rack: String = "",
    val session: Long = 0,
)

/** An executor's report on an attempt. */
@Serializable
data class AttemptReport(
    val attempt: AttemptId,
    val state: AttemptState,
    val text: String = "",
    val peak: Resources = Resources.NONE,
)

/** State of an attempt, as its executor reports it. */
@Serializable
enum class AttemptState {
    RUNNING,

    /** Succeeded; the text is the result. */
    COMPLETED,

    /** Failed; the text is the error. */
    FAILED,

    /** Stopped on request; a later attempt resumes from its checkpoint. */
    CHECKPOINTED,

    /** Stopped on request or because the lease expired. */
    KILLED,

    /** Refused or lost before it started, so that nothing of it ran. */
    NOT_STARTED,
}

/** How an attempt is asked to free resources. */
@Serializable
enum class StopMode { THROTTLE, CHECKPOINT, KILL }

/** Tasks of a team that count against its limit in a zone ([held]), and tasks that it could run there ([demand]). */
@Serializable
data class TeamLoad(
    val team: TeamId,
    val held: Int,
    val demand: Int,
)
