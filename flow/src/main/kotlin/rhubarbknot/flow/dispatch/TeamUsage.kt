package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** What each team may have running, by the runs that may exist, and what is held for its gangs while a plan is made. */
internal class TeamUsage {
    private val byTeam = HashMap<String, Resources>()
    private val held = HashMap<String, Resources>()

    /** What counts against the ceiling of [team] now. */
    fun of(team: String): Resources {
        val running = byTeam[team] ?: Resources.NONE
        return held[team]?.let { running + it } ?: running
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

    /** Counts [demand] as if it ran, until [releaseHeld]. */
    fun hold(
        team: String,
        demand: Resources,
    ) {
        held[team] = (held[team] ?: Resources.NONE) + demand
    }

    fun releaseHeld() = held.clear()
}
