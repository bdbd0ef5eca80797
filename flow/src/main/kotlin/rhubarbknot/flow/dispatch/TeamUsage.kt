package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** Resources of each team used by runs that may exist, plus those reserved for its gangs while a plan is computed. */
internal class TeamUsage {
    private val byTeam = HashMap<String, Resources>()
    private val reserved = HashMap<String, Resources>()

    /** Resources that count against the ceiling of [team]. */
    fun of(team: String): Resources {
        val running = byTeam[team] ?: Resources.NONE
        return reserved[team]?.let { running + it } ?: running
    }

    fun add(
        team: String,
        demand: Resources,
    ) {
        byTeam[team] = (byTeam[team] ?: Resources.NONE) + demand
    }

    fun remove(
        team: String,
        demand: Resources,
    ) {
        byTeam[team] = (byTeam[team] ?: Resources.NONE) - demand
    }

    /** Counts [demand] as used until [releaseReservations]. */
    fun reserve(
        team: String,
        demand: Resources,
    ) {
        reserved[team] = (reserved[team] ?: Resources.NONE) + demand
    }

    fun releaseReservations() = reserved.clear()
}
