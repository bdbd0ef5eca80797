package rhubarbknot.core.registry

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.TeamRow

/**
 * A row of the team table as seen by one cell.
 *
 * @property limit the part of the team's ceiling that is assigned to this zone.
 * @property overCeiling whether the sum of all grants still exceeds the ceiling after it was lowered. No zone may start
 * work of the team until enough of the grants has been returned.
 */
@Serializable
data class CellRow(
    val row: TeamRow,
    val limit: Int,
    val overCeiling: Boolean = false,
)

/**
 * The part of the registry's state that the cell of [zone] needs, at [version].
 *
 * @property rows all rows if [whole], otherwise only the changed ones.
 * @property others offers of the other zones that are in service.
 * @property removed teams whose rows were removed, if not [whole].
 */
@Serializable
data class ZoneView(
    val version: Long,
    val zone: ZoneId,
    val inService: Boolean,
    val rows: List<CellRow>,
    val others: List<ZoneOffer> = emptyList(),
    val whole: Boolean = true,
    val removed: List<TeamId> = emptyList(),
) {
    /** Reduces this view to the difference from the rows that the cell has already applied. */
    fun diffAgainst(applied: Map<TeamId, CellRow>): ZoneView {
        val currentTeams = rows.map { it.row.team }.toSet()
        return copy(
            rows = rows.filter { applied[it.row.team] != it },
            whole = false,
            removed = applied.keys.filter { it !in currentTeams },
        )
    }

    companion object {
        /** The view for [zone], or null if the zone does not exist in [state]. */
        fun of(
            state: RegistryState,
            zone: ZoneId,
        ): ZoneView? {
            val record = state.zones[zone] ?: return null
            val rows =
                state.rows.values.map { (row, _) ->
                    val grants = state.grants[row.team].orEmpty()
                    CellRow(row, grants[zone]?.wanted ?: 0, grants.values.sumOf { it.granted } > row.ceiling)
                }
            val others =
                state.zones.values
                    .filter { it.zone != zone && it.inService }
                    .map { state.offers[it.zone] ?: ZoneOffer(it.zone) }
            return ZoneView(state.version, zone, record.inService, rows, others)
        }

        /** Teams whose grant in [zone] exceeds its target, so that the zone has to return the difference. */
        fun teamsWithReturnableGrants(
            state: RegistryState,
            zone: ZoneId,
        ): List<TeamId> =
            state.grants.entries
                .filter { (_, zones) -> zones[zone]?.let { it.granted > it.wanted } == true }
                .map { it.key }
    }
}
