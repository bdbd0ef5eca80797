package rhubarbknot.core.model

import kotlinx.serialization.Serializable

/** Identifies a customer by the name in the `team` column of the team table. */
@Serializable
@JvmInline
value class TeamId(
    val name: String,
) : Comparable<TeamId> {
    override fun compareTo(other: TeamId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
value class ZoneId(
    val name: String,
) : Comparable<ZoneId> {
    override fun compareTo(other: ZoneId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/** Identifies a queue that jobs are submitted to. */
@Serializable
@JvmInline
value class QueueId(
    val name: String,
) {
    override fun toString(): String = name
}

/** Identifies an executor (a worker or an endpoint) by the name it registers with. */
@Serializable
@JvmInline
value class ExecutorId(
    val name: String,
) : Comparable<ExecutorId> {
    override fun compareTo(other: ExecutorId): Int = name.compareTo(other.name)

    override fun toString(): String = name
}

/**
 * Identifies a job uniquely across all zones.
 *
 * @property team the team that the job is accounted to.
 * @property local id within the team, chosen by the caller or assigned on acceptance.
 */
@Serializable
data class JobId(
    val team: TeamId,
    val local: String,
) {
    override fun toString(): String = "${team.name}/$local"
}

/** Identifies one request of a caller; the entry host that receives the request makes it unique. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}

/**
 * Identifies one attempt to run a task.
 *
 * @property task index of the task within the job.
 * @property number attempt number of this task, starting at 1; together with the job it is the fencing token.
 */
@Serializable
data class AttemptId(
    val job: JobId,
    val task: Int,
    val number: Int,
) {
    override fun toString(): String = "$job#$task.$number"
}
