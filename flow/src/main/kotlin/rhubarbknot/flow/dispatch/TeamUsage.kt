package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** Resources of each team used by runs that may exist, plus those reserved for its gangs while a plan is computed. */
internal class TeamUsage {
    private val byTeam = HashMap<String, Resources>()
    private val lasting = HashMap<String, Resources>()
    private val reserved = HashMap<String, Resources>()

    /** Resources that count against the ceiling of [team]. */
    fun of(team: String): Resources {
        val running = byTeam[team] ?: Resources.NONE
        return reserved[team]?.let { running + it } ?: running
    }

    /** The part of it that lasting runs of [team] use, which they keep until their jobs are cancelled. */
    fun ofLasting(team: String): Resources = lasting[team] ?: Resources.NONE

    fun add(
        team: String,
        demand: Resources,
        isLasting: Boolean = false,
    ) {
        byTeam[team] = (byTeam[team] ?: Resources.NONE) + demand
        if (isLasting) lasting[team] = ofLasting(team) + demand
    }

    fun remove(
        team: String,
        demand: Resources,
        isLasting: Boolean = false,
    ) {
        byTeam[team] = (byTeam[team] ?: Resources.NONE) - demand
        if (isLasting) lasting[team] = ofLasting(team) - demand
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
