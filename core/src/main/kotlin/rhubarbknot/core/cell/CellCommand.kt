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
 * One entry of a cell's log: commands that take effect together, after which free capacity is handed out once.
 *
 * @property atMillis cell time: continues over leaders and never goes back.
 */
@Serializable
data class CellBatch(
    val atMillis: Long,
    val commands: List<CellCommand>,
)

/** What can happen to a cell. */
@Serializable
sealed interface CellCommand {
    /** The registry's state as far as it concerns this zone. Older versions are ignored. */
    @Serializable
    @SerialName("configure")
    data class Configure(
        val view: ZoneView,
    ) : CellCommand

    /** Whether the zone's lease from the registry ran out, so that nothing may start. */
    @Serializable
    @SerialName("hold")
    data class Hold(
        val held: Boolean,
    ) : CellCommand

    /** A new job, or the resend of one; [fingerprint] of everything the caller sent tells which. */
    @Serializable
    @SerialName("submit")
    data class Submit(
        val request: RequestId,
        val job: JobId,
        val queue: QueueId,
        val spec: JobSpec,
        val fingerprint: Long,
    ) : CellCommand

    /** Takes over a job that [from] accepted. */
    @Serializable
    @SerialName("adopt")
    data class Adopt(
        val transfer: JobTransfer,
        val from: ZoneId,
    ) : CellCommand

    /** [zone] has taken over [job]; [up] once all of it has started there. */
    @Serializable
    @SerialName("moved")
    data class Moved(
        val job: JobId,
        val zone: ZoneId,
        val up: Boolean,
    ) : CellCommand

    /** Cancels any number of jobs in one pass. */
    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val request: RequestId,
        val jobs: List<JobId>,
    ) : CellCommand

    /**
     * An executor announces itself, or comes back to a new leader.
     *
     * @property known every attempt that it runs, or has ended without an acknowledgement. What is not in the list
     * never started there, and never will: its start names an older session.
     */
    @Serializable
    @SerialName("join")
    data class Join(
        val info: ExecutorInfo,
        val known: List<AttemptReport> = emptyList(),
    ) : CellCommand

    /** An executor takes no new work. */
    @Serializable
    @SerialName("leave")
    data class Leave(
        val executor: ExecutorId,
    ) : CellCommand

    /** An executor's lease ran out by its own clock, so nothing runs there any more. */
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

    /** [used] is what the attempt takes at present. */
    @Serializable
    @SerialName("usage")
    data class Usage(
        val attempt: AttemptId,
        val used: Resources,
    ) : CellCommand

    /** Nothing but time. */
    @Serializable
    @SerialName("tick")
    data object Tick : CellCommand
}

/** Whether an executor is a worker or an endpoint. */
@Serializable
enum class ExecutorKind { WORKER, ENDPOINT }

/**
 * What an executor says of itself.
 *
 * @property incarnation changes with every start of the executor's process.
 * @property session counts the executor's announcements; a start that names an older one is refused there.
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

/** What an executor says of an attempt. */
@Serializable
data class AttemptReport(
    val attempt: AttemptId,
    val state: AttemptState,
    val text: String = "",
    val peak: Resources = Resources.NONE,
)

/** How far an attempt has come, as its executor reports it. */
@Serializable
enum class AttemptState {
    RUNNING,

    /** Ended well; the text is the answer. */
    COMPLETED,

    /** Ended with an error; the text says which. */
    FAILED,

    /** Stopped on request; a later attempt goes on from its checkpoint. */
    CHECKPOINTED,

    /** Stopped on request or because the lease ran out. */
    KILLED,

    /** Refused or lost before it began: nothing of it ran. */
    NOT_STARTED,
}

/** How an attempt is asked to make room. */
@Serializable
enum class StopMode { THROTTLE, CHECKPOINT, KILL }

/** The team whose limits apply, for pages and reports. */
@Serializable
data class TeamLoad(
    val team: TeamId,
    val held: Int,
    val demand: Int,
)
