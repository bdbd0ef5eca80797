package rhubarbknot.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of a job; these three cases are exhaustive. */
@Serializable
sealed interface Outcome {
    /**
     * The job ran.
     *
     * @property success false if it ended with an error or was cancelled after its start.
     * @property answer complete response of the executor.
     */
    @Serializable
    @SerialName("ran")
    data class Ran(
        val success: Boolean,
        val answer: String,
    ) : Outcome

    /** No task of the job has run, and none will. */
    @Serializable
    @SerialName("notRun")
    data class NotRun(
        val reason: RefusalReason,
        val detail: String,
    ) : Outcome

    /**
     * The job may have run. The outcome is updated if the executor that received the job reconnects and reports what
     * happened.
     */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val detail: String,
    ) : Outcome
}

/** Why a request was refused. The lower-case name is the stable error code in the API for callers. */
@Serializable
enum class RefusalReason {
    BAD_REQUEST,
    BAD_KEY,
    UNKNOWN_TEAM,
    UNKNOWN_QUEUE,
    ID_REUSED,
    QUEUE_FULL,
    NEVER_FITS,
    DEADLINE_PASSED,
    CANCELLED,
    ZONE_UNREACHABLE,
    NO_SUCH_JOB,
    SHUTTING_DOWN,
    CONFLICT,
    RETENTION_FULL,
}
