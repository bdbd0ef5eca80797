package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** What each team may have running, by the runs that may exist. */
internal class TeamUse {
    private val byTeam = HashMap<String, Resources>()

    fun of(team: String): Resources = byTeam[team] ?: Resources.NONE

    fun add(
        team: String,
        demand: Resources,
    ) {
        byTeam[team] = of(team) + demand
    }

    fun remove(
        team: String,
        demand: Resources,
    ) {
        byTeam[team] = of(team) - demand
    }
}
