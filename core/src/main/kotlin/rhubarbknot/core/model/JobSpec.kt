package rhubarbknot.core.model

import kotlinx.serialization.Serializable

/** How a job is executed. */
@Serializable
enum class WorkKind {
    /** A short request that occupies one slot of an endpoint. */
    CALL,

    /** Runs on workers until its tasks end. */
    BATCH,

    /** Runs on workers until it is cancelled. */
    SERVICE,
}

/**
 * Specification of a job as submitted by the caller.
 *
 * @property tasks number of tasks in the job; a call has one.
 * @property gang all tasks start together or none does.
 * @property need declared resource request of each task.
 * @property idempotent whether running a task again is safe. Tasks that are not idempotent are started at most once.
 * @property expectedRunMillis declared run time; 0 if unknown.
 * @property deadlineMillis maximum time to wait for a start; 0 for no deadline.
 * @property payload passed to the executor unchanged.
 */
@Serializable
data class JobSpec(
    val kind: WorkKind,
    val tasks: Int = 1,
    val gang: Boolean = false,
    val need: Resources = Resources.ONE_SLOT,
    val idempotent: Boolean = true,
    val urgent: Boolean = false,
    val expectedRunMillis: Long = 0,
    val deadlineMillis: Long = 0,
    val payload: String = "",
)
