package rhubarbknot.cli.demo

import rhubarbknot.core.explain.WaitExplainer
import rhubarbknot.standins.InvariantMonitor

/** Aggregates the outcomes that callers received and the violations that the observer recorded, and formats the report. */
class DemoReport(
    private val results: List<DemoJobResult>,
    private val observer: InvariantMonitor,
    private val slowest: List<String>,
) {
    fun result(): DemoResult {
        val violations = observer.violations()
        return DemoResult(
            accepted = results.count { it.outcome == "ran" || it.outcome == "unknown" },
            completed = results.count { it.outcome == "ran" },
            refused = results.count { it.outcome == "notRun" },
            unknown = results.count { it.outcome == "unknown" },
            lost = results.count { it.outcome == "lost" },
            doubled = violations.doubled,
            overcommitted = violations.overcommitted,
            ceilingBreaches = violations.ceilingBreaches,
            startsInDrainedZone = violations.startsInDrainedZone,
            servedForWithdrawnKey = violations.servedForWithdrawnKey,
            crossedAnswers = results.count { it.answerMismatch },
            page = page(),
        )
    }

    private fun page(): String {
        val lines = ArrayList<String>()
        lines += "What happened this morning"
        lines += ""
        lines +=
            "%-12s %6s %6s %8s %8s %5s %14s %14s".format("team", "asked", "ran", "refused", "unknown", "lost", "usual wait", "longest wait")
        results.groupBy { it.job.team }.toSortedMap().forEach { (team, teamResults) -> lines += line(team, teamResults) }
        lines += ""
        lines += "The job that waited longest:"
        lines += slowest.ifEmpty { listOf("  no job waited") }
        return lines.joinToString("\n")
    }

    private fun line(
        team: String,
        teamResults: List<DemoJobResult>,
    ): String {
        val waits = teamResults.filter { it.outcome == "ran" }.map { it.waitedMillis }.sorted()
        val medianWait = waits.getOrElse(waits.size / 2) { 0 }
        val counts = listOf("ran", "notRun", "unknown", "lost").map { outcome -> teamResults.count { it.outcome == outcome } }
        return "%-12s %6d %6d %8d %8d %5d %14s %14s".format(
            team,
            teamResults.size,
            counts[0],
            counts[1],
            counts[2],
            counts[3],
            WaitExplainer.duration(medianWait),
            WaitExplainer.duration(waits.lastOrNull() ?: 0),
        )
    }
}
