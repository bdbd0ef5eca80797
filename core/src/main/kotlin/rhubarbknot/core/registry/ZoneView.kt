package rhubarbknot.core.registry

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.TeamRow

/**
 * A row of the table as one cell needs it.
 *
 * @property limit the part of the ceiling that sits in this zone.
 * @property overCeiling the zones together still hold more than a ceiling that was lowered; none may start anything
 * of the team until they have given enough back.
 */
@Serializable
data class CellRow(
    val row: TeamRow,
    val limit: Int,
    val overCeiling: Boolean = false,
)

/**
 * What a cell needs of the registry, taken at [version].
 *
 * @property rows all rows when [whole], otherwise only those that changed; [removed] names rows that went.
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
    /** This view as a difference to rows that are in force already. */
    fun diffAgainst(inForce: Map<TeamId, CellRow>): ZoneView {
        val present = rows.map { it.row.team }.toSet()
        return copy(
            rows = rows.filter { inForce[it.row.team] != it },
            whole = false,
            removed = inForce.keys.filter { it !in present },
        )
    }

    companion object {
        /** The view of [zone] in [state]; null while the zone is not known. */
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

        /** The teams that have a grant in [zone] to give back. */
        fun teamsWithReturnableGrants(
            state: RegistryState,
            zone: ZoneId,
        ): List<TeamId> =
            state.grants.entries
                .filter { (_, zones) -> zones[zone]?.let { it.granted > it.wanted } == true }
                .map { it.key }
    }
}
