package rhubarbknot.flow.node

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.JobPhase

/** Host and path of a caller's request, and the API key that it carried. */
@Serializable
data class RequestTarget(
    val host: String,
    val path: String,
    val key: String? = null,
)

/** Request of a caller, an operator or a worker to the leader. Every request is idempotent. */
@Serializable
sealed interface FlowRequest {
    /** Subject of log lines about the request. */
    val subject: String

    /** Time after its arrival for which the request may still be passed on, in milliseconds. */
    val validMillis: Long get() = REPEATABLE_VALID_MILLIS

    /** Whether a refusal promises that the request has had no effect and will have none. */
    val isRefusalBinding: Boolean get() = false

    @Serializable
    @SerialName("submit")
    data class Submit(
        val to: RequestTarget,
        val payload: String,
        val steps: List<StepSpec>,
    ) : FlowRequest {
        override val subject: String get() = to.path
        override val validMillis: Long get() = SUBMISSION_VALID_MILLIS
        override val isRefusalBinding: Boolean get() = true
    }

    /** Queries the state of a job, or of a queue when the path names no job. */
    @Serializable
    @SerialName("ask")
    data class Ask(
        val to: RequestTarget,
    ) : FlowRequest {
        override val subject: String get() = to.path
    }

    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val to: RequestTarget,
    ) : FlowRequest {
        override val subject: String get() = to.path
    }

    @Serializable
    @SerialName("configure")
    data class Configure(
        val configuration: Configuration,
    ) : FlowRequest {
        override val subject: String get() = configuration.version.toString()
    }

    @Serializable
    @SerialName("readConfiguration")
    data object ReadConfiguration : FlowRequest {
        override val subject: String get() = "configuration"
    }

    @Serializable
    @SerialName("setZone")
    data class SetZone(
        val zone: String,
        val drained: Boolean,
    ) : FlowRequest {
        override val subject: String get() = zone
        override val validMillis: Long get() = UNMARKED_VALID_MILLIS
    }

    @Serializable
    @SerialName("report")
    data class Report(
        val report: WorkerReport,
    ) : FlowRequest {
        override val subject: String get() = report.life.id
    }

    @Serializable
    @SerialName("leave")
    data class Leave(
        val worker: String,
    ) : FlowRequest {
        override val subject: String get() = worker
        override val validMillis: Long get() = UNMARKED_VALID_MILLIS
    }

    companion object {
        /** For requests whose late copy does no harm. */
        const val REPEATABLE_VALID_MILLIS = 10_000L

        /** Less than the time for which a refused job stays refused, so that no earlier copy of it is accepted afterwards. */
        const val SUBMISSION_VALID_MILLIS = 2_200L

        /**
         * For requests that carry nothing to tell a late copy from a newer request: the time after which their senders ask
         * another node.
         */
        const val UNMARKED_VALID_MILLIS = 1_000L
    }
}

/** Answer to a [FlowRequest]. */
@Serializable
sealed interface FlowAnswer {
    /** The request was executed, and its effect is durable. */
    @Serializable
    @SerialName("done")
    data object Done : FlowAnswer

    @Serializable
    @SerialName("job")
    data class JobIs(
        val phase: JobPhase,
    ) : FlowAnswer

    @Serializable
    @SerialName("queue")
    data class QueueIs(
        val pending: Int,
    ) : FlowAnswer

    @Serializable
    @SerialName("configuration")
    data class ConfigurationIs(
        val document: String,
    ) : FlowAnswer

    /** The request has not run and never will. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: Refusal,
        val retryAfterMillis: Long = 0,
    ) : FlowAnswer

    /** The request may or may not have run; the same request can be sent again. */
    @Serializable
    @SerialName("unknown")
    data object OutcomeUnknown : FlowAnswer
}

/** Why a request was not executed. */
@Serializable
enum class Refusal {
    NO_CONFIGURATION,
    UNKNOWN_QUEUE,
    UNKNOWN_KEY,
    UNKNOWN_JOB,
    INVALID,
    OVERLOADED,

    /** No leader with a valid lease can be reached. */
    NO_LEADER,
}
