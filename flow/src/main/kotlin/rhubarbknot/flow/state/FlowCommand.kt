package rhubarbknot.flow.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation

/** Command in the replicated log. Times are Unix milliseconds by the clock of the leader that proposed the command. */
@Serializable
sealed interface FlowCommand {
    @Serializable
    @SerialName("configure")
    data class Configure(
        val configuration: Configuration,
    ) : FlowCommand

    /** Drains an availability zone or puts it back into service. */
    @Serializable
    @SerialName("zone")
    data class SetZone(
        val zone: String,
        val drained: Boolean,
    ) : FlowCommand

    /**
     * Accepts a job.
     *
     * @property queue the queue that accepted it; null in entries of earlier versions, whose queue is the one that the request names.
     */
    @Serializable
    @SerialName("submit")
    data class Submit(
        val request: JobRequest,
        val atMillis: Long,
        val queue: Queue? = null,
    ) : FlowCommand

    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val job: String,
        val atMillis: Long,
    ) : FlowCommand

    /** Assigns runs to workers. Committed before any start call is sent. */
    @Serializable
    @SerialName("assign")
    data class Assign(
        val runs: List<Assignment>,
    ) : FlowCommand

    /**
     * Records the end of runs and which jobs have started.
     *
     * @property worker worker that reported the ends, if any; with this command all its ends up to number [upTo] are in the log.
     * @property crash crash of a worker that ended runs, if any; it may have ended them before this command.
     * @property startedJobs jobs of which a worker has confirmed or listed a run.
     */
    @Serializable
    @SerialName("ended")
    data class Ended(
        val ends: List<RunEnd>,
        val atMillis: Long,
        val worker: WorkerIncarnation? = null,
        val upTo: Long = 0,
        val crash: WorkerCrash? = null,
        val startedJobs: List<String> = emptyList(),
    ) : FlowCommand
}

/** A run and the worker it is assigned to. */
@Serializable
data class Assignment(
    val run: RunId,
    val worker: WorkerIncarnation,
)
