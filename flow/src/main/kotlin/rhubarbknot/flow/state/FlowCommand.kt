package rhubarbknot.flow.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerIncarnation

/** What the replicated log records. Times are Unix milliseconds of the leader that proposed the command. */
@Serializable
sealed interface FlowCommand {
    @Serializable
    @SerialName("configure")
    data class Configure(
        val configuration: Configuration,
    ) : FlowCommand

    /** Takes an availability zone out of service, or back. */
    @Serializable
    @SerialName("zone")
    data class SetZone(
        val zone: String,
        val drained: Boolean,
    ) : FlowCommand

    @Serializable
    @SerialName("submit")
    data class Submit(
        val request: JobRequest,
        val atMillis: Long,
    ) : FlowCommand

    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val job: String,
        val atMillis: Long,
    ) : FlowCommand

    /** Runs that may be started on a worker from now on. Recorded before any start is sent. */
    @Serializable
    @SerialName("assign")
    data class Assign(
        val runs: List<Assignment>,
    ) : FlowCommand

    /**
     * Runs that are over.
     *
     * @property worker that listed the ends, when one did; all its ends up to [upTo] are in the log with this one.
     */
    @Serializable
    @SerialName("ended")
    data class Ended(
        val ends: List<RunEnd>,
        val atMillis: Long,
        val worker: WorkerIncarnation? = null,
        val upTo: Long = 0,
    ) : FlowCommand
}

/** One run with the place that it is meant for. */
@Serializable
data class Assignment(
    val run: RunId,
    val worker: WorkerIncarnation,
)
