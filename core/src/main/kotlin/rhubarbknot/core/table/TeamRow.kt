package rhubarbknot.core.table

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId

/**
 * A row of the team table: the limits of one customer.
 *
 * @property share fair-share weight in a full zone; share 2 entitles a team to twice as much as share 1.
 * @property ceiling maximum number of running tasks and calls over all zones.
 * @property urgent maximum number of these that may be urgent at the same time.
 * @property queueLimit maximum number of waiting jobs in one zone.
 * @property retriesPerMinute maximum number of second and later attempts started in one zone per minute.
 * @property overtakeSeconds how long shorter work of the team may be scheduled before longer work that arrived earlier;
 * 0 keeps the order of arrival. A higher value lowers the team's mean wait, a lower value favors its long jobs.
 */
@Serializable
data class TeamRow(
    val team: TeamId,
    val share: Int,
    val ceiling: Int,
    val urgent: Int = ceiling,
    val queueLimit: Int = DEFAULT_QUEUE_LIMIT,
    val retriesPerMinute: Int = DEFAULT_RETRIES_PER_MINUTE,
    val overtakeSeconds: Int = DEFAULT_OVERTAKE_SECONDS,
) {
    companion object {
        const val DEFAULT_QUEUE_LIMIT = 100_000
        const val DEFAULT_RETRIES_PER_MINUTE = 600
        const val DEFAULT_OVERTAKE_SECONDS = 60
        const val MAX_OVERTAKE_SECONDS = 86_400
    }
}

/**
 * Configuration of a queue.
 *
 * @property team the team that jobs in this queue are accounted to.
 * @property openToAll whether jobs are accepted without an API key.
 */
@Serializable
data class QueueRow(
    val queue: QueueId,
    val team: TeamId,
    val openToAll: Boolean = false,
)
