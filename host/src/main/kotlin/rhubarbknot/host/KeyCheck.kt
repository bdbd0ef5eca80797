package rhubarbknot.host

import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.table.QueueRow

/** Maps queues and keys to teams and checks the access of keys. */
internal object KeyCheck {
    /** The row of [queue]. Each team has an implicit queue of the same name; other queues are defined in the registry. */
    fun queue(
        registry: Registry,
        queue: QueueId,
    ): QueueRow? =
        registry.state.queues[queue]?.row
            ?: TeamId(queue.name).takeIf { it in registry.state.rows }?.let { QueueRow(queue, it) }

    /** The team that owns work submitted to [queue] with [keyHash]; null if the queue is unknown or the key has no access. */
    fun teamFor(
        registry: Registry,
        keyHash: String?,
        queue: QueueId,
    ): TeamId? {
        val row = queue(registry, queue) ?: return null
        if (row.openToAll) return row.team
        val team = keyHash?.let { registry.teamOfHash(it) }
        return team?.takeIf { it == row.team }
    }

    fun refusal(
        registry: Registry,
        queue: QueueId,
    ): ApiResponse.Refused =
        if (queue(registry, queue) == null) {
            ApiResponse.Refused(RefusalReason.UNKNOWN_QUEUE, "no queue ${queue.name}")
        } else {
            ApiResponse.Refused(RefusalReason.BAD_KEY, "queue ${queue.name} takes work only under a key of its team that is in force")
        }

    /** Whether [keyHash] may read and cancel the jobs of [team]. */
    fun mayRead(
        registry: Registry,
        keyHash: String?,
        team: TeamId,
    ): Boolean {
        val open =
            registry.state.queues.values
                .any { it.row.openToAll && it.row.team == team }
        return open || (keyHash != null && registry.teamOfHash(keyHash) == team)
    }
}
