package rhubarbknot.core.overload

/** Scheduling class of waiting work by how much value its job can still have for its caller. */
enum class Tier {
    /** The job can finish within its objective. */
    ON_TIME,

    /** The job can only finish after its objective, with reduced value. */
    LATE,

    /** The team submitted more jobs than its share. */
    BEYOND_SHARE,

    /** The job is too late to have any value; it was accepted, so it still runs once capacity is free. */
    TOO_LATE,
}
