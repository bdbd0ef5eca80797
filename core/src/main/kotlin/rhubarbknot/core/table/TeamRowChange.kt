package rhubarbknot.core.table

import rhubarbknot.core.model.TeamId

/** Difference of one row: [before] is null for an added team, [after] is null for a removed one. */
data class TeamRowChange(
    val team: TeamId,
    val before: TeamRow?,
    val after: TeamRow?,
) {
    override fun toString(): String =
        when {
            before == null && after != null -> "team $team is new: ${after.describe()}"
            after == null -> "team $team is removed"
            else -> "team $team: ${before?.describe()} becomes ${after.describe()}"
        }

    private fun TeamRow.describe(): String =
        "share $share, ceiling $ceiling, urgent $urgent, queue limit $queueLimit, retries per minute $retriesPerMinute, overtake seconds $overtakeSeconds"

    companion object {
        /** The rows that differ between two complete tables, sorted by team. */
        fun between(
            before: List<TeamRow>,
            after: List<TeamRow>,
        ): List<TeamRowChange> {
            val oldRows = before.associateBy { it.team }
            val newRows = after.associateBy { it.team }
            return (oldRows.keys + newRows.keys).sorted().filter { oldRows[it] != newRows[it] }.map {
                TeamRowChange(
                    it,
                    oldRows[it],
                    newRows[it],
                )
            }
        }
    }
}
