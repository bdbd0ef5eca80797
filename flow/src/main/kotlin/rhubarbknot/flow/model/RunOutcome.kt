package rhubarbknot.flow.model

import kotlinx.serialization.Serializable

/** How a run ended. */
@Serializable
enum class RunOutcome {
    DONE,

    /** The task or its worker failed; counts as an attempt. */
    FAILED,
    STOPPED,
    LEASE_EXPIRED,

    /** Another member of its gang ended. */
    GANG_BROKEN,

    /** Timed out while waiting for the other members of its gang. */
    GANG_INCOMPLETE,

    /** The worker refused to start the run and never will. */
    REJECTED,

    /** The worker no longer knows the run, or is gone. */
    LOST,
    ;

    /** Whether a run can only end this way after it has started; the others also end runs whose start was never executed. */
    val showsStart: Boolean get() = this == DONE || this == FAILED
}

/**
 * The end of one run.
 *
 * @property checkpoint checkpoint that a later run can resume from; empty for none.
 */
@Serializable
data class RunEnd(
    val run: RunId,
    val ending: RunOutcome,
    val checkpoint: String = "",
)
