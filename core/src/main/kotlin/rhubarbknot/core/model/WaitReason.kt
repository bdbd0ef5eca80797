package rhubarbknot.core.model

import kotlinx.serialization.Serializable

/** Why a job was waiting during an interval. */
@Serializable
enum class WaitReason {
    /** Accepted, but not yet considered by the scheduler. */
    SCHEDULING,

    /** The team has reached its ceiling in this zone. */
    TEAM_AT_CEILING,

    /** The team already runs as many urgent tasks and calls as its limit allows. */
    URGENT_ALLOWANCE_USED,

    /** No executor has enough free capacity. */
    CELL_FULL,

    /** The zone is full, and other teams are further below their fair share. */
    OTHERS_BELOW_SHARE,

    /** Operators took the zone out of service. */
    ZONE_OUT,

    /** The zone is disconnected from the registry and must not start any work. */
    ZONE_CUT_OFF,

    /** No executor has registered yet. */
    NO_EXECUTORS,

    /** The last executor that was large enough has left. */
    NO_FITTING_EXECUTOR,

    /** All tasks of the gang must fit at the same time. */
    GANG_ASSEMBLING,

    /** An earlier attempt failed; the next one is delayed. */
    RETRY_BACKOFF,

    /** The team has exhausted its retry budget for this minute. */
    RETRY_BUDGET_USED,

    /** Preempted: the job was checkpointed or stopped to free capacity for other work. */
    MAKING_ROOM,
}

/** A half-open interval of waiting, `[from, until)`, in milliseconds of the cell's clock. */
@Serializable
data class WaitInterval(
    val reason: WaitReason,
    val from: Long,
    val until: Long,
) {
    val millis: Long get() = until - from
}
