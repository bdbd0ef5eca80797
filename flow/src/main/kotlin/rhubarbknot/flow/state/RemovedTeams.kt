package rhubarbknot.flow.state

import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Team

/** The last settings of teams that the configuration in force does not name, whose jobs may still run and keep their ceiling. */
internal class RemovedTeams {
    private val removed = LinkedHashMap<String, Team>()
    private val jobs = HashMap<String, Int>()

    val all: List<Team> get() = removed.values.toList()

    operator fun get(name: String): Team? = removed[name]

    /** Counts a job of [team] that is not final or of which a run may exist. */
    fun addJob(team: String) {
        jobs.merge(team, 1, Int::plus)
    }

    fun removeJob(team: String) {
        jobs.merge(team, -1) { a, b -> (a + b).takeIf { it > 0 } }
    }

    /** Records the change from [previous] to [next]. A removed team keeps no API keys. */
    fun configured(
        previous: Configuration?,
        next: Configuration,
    ) {
        next.teams.forEach { removed.remove(it.name) }
        val names = next.teams.mapTo(HashSet()) { it.name }
        previous?.teams?.filter { it.name !in names }?.forEach { removed.putIfAbsent(it.name, it.copy(keys = emptyList())) }
        // A submission that is on its way may still name a team that has no job.
        val surplus = removed.keys.filter { it !in jobs }.dropLast(MAX_TEAMS_WITHOUT_JOBS)
        removed.keys.removeAll(surplus.toSet())
    }

    /** Replaces all records by those of a snapshot; jobs are added afterwards. */
    fun restore(teams: List<Team>) {
        removed.clear()
        jobs.clear()
        teams.forEach { removed[it.name] = it }
    }

    private companion object {
        const val MAX_TEAMS_WITHOUT_JOBS = 200
    }
}
