package rhubarbknot.core.table

import rhubarbknot.core.model.TeamId

/** How one row changes: a team that is new has no [before], one that is removed no [after]. */
data class TeamRowChange(
    val team: TeamId,
    val before: TeamRow?,
    val after: TeamRow?,
) {
    override fun toString(): String =
        when {
            before == null && after != null -> "team $team is new: ${after.text()}"
            after == null -> "team $team is removed"
            else -> "team $team: ${before?.text()} becomes ${after.text()}"
        }

    private fun TeamRow.text(): String =
        "share $share, ceiling $ceiling, urgent $urgent, queue limit $queueLimit, retries per minute $retriesPerMinute, overtake seconds $overtakeSeconds"

    companion object {
        /** The rows that differ between two whole tables, in order of team. */
        fun between(
            before: List<TeamRow>,
            after: List<TeamRow>,
        ): List<TeamRowChange> {
            val old = before.associateBy { it.team }
            val new = after.associateBy { it.team }
            return (old.keys + new.keys).sorted().filter { old[it] != new[it] }.map { TeamRowChange(it, old[it], new[it]) }
        }
    }
}
