package rhubarbknot.cli.demo

import rhubarbknot.core.explain.WaitExplainer
import rhubarbknot.standins.InvariantMonitor

/** Adds up what callers were told and what the observer saw, and writes the page. */
class DemoReport(
    private val told: List<Told>,
    private val observer: InvariantMonitor,
    private val slowest: List<String>,
) {
    fun result(): DemoResult {
        val seen = observer.violations()
        return DemoResult(
            accepted = told.count { it.outcome == "ran" || it.outcome == "unknown" },
            completed = told.count { it.outcome == "ran" },
            refused = told.count { it.outcome == "notRun" },
            unknown = told.count { it.outcome == "unknown" },
            lost = told.count { it.outcome == "lost" },
            doubled = seen.doubled,
            overcommitted = seen.overcommitted,
            ceilingBreaches = seen.ceilingBreaches,
            startsInDrainedZone = seen.startsInDrainedZone,
            servedForWithdrawnKey = seen.servedForWithdrawnKey,
            crossedAnswers = told.count { it.crossed },
            page = page(),
        )
    }

    private fun page(): String {
        val lines = ArrayList<String>()
        lines += "What happened this morning"
        lines += ""
        lines +=
            "%-12s %6s %6s %8s %8s %5s %14s %14s".format("team", "asked", "ran", "refused", "unknown", "lost", "usual wait", "longest wait")
        told.groupBy { it.wish.team }.toSortedMap().forEach { (team, list) -> lines += line(team, list) }
        lines += ""
        lines += "The job that waited longest:"
        lines += slowest.ifEmpty { listOf("  no job waited") }
        return lines.joinToString("\n")
    }

    private fun line(
        team: String,
        list: List<Told>,
    ): String {
        val waits = list.filter { it.outcome == "ran" }.map { it.waitedMillis }.sorted()
        val usual = waits.getOrElse(waits.size / 2) { 0 }
        val counts = listOf("ran", "notRun", "unknown", "lost").map { outcome -> list.count { it.outcome == outcome } }
        return "%-12s %6d %6d %8d %8d %5d %14s %14s".format(
            team,
            list.size,
            counts[0],
            counts[1],
            counts[2],
            counts[3],
            WaitExplainer.duration(usual),
            WaitExplainer.duration(waits.lastOrNull() ?: 0),
        )
    }
}
