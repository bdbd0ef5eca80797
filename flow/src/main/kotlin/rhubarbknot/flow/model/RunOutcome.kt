package rhubarbknot.flow.model

import kotlinx.serialization.Serializable

/** How a run ended. */
@Serializable
enum class RunOutcome {
    DONE,

    /** Through the fault of the task or of its worker; counts as an attempt. */
    FAILED,
    STOPPED,
    LEASE_EXPIRED,

    /** Another member of its gang ended. */
    GANG_BROKEN,

    /** It waited in vain for the other members of its gang. */
    GANG_INCOMPLETE,

    /** The worker refused to start it, and will never start it. */
    REJECTED,

    /** The worker no longer knows it, or is gone. */
    LOST,
}

/**
 * The end of one run.
 *
 * @property checkpoint where a later run can go on; empty for nowhere.
 */
@Serializable
data class RunEnd(
    val run: RunId,
    val ending: RunOutcome,
    val checkpoint: String = "",
)
