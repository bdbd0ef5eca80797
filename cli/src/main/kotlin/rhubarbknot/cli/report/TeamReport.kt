package rhubarbknot.cli.report

import kotlinx.serialization.Serializable
import rhubarbknot.core.explain.WaitExplainer
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WaitReason
import rhubarbknot.daemon.QueueUsageDetail
import rhubarbknot.daemon.TeamDetail

/** The last 24 hours of a team in one zone. */
@Serializable
data class TeamInZone(
    val zone: String,
    val detail: TeamDetail,
)

/** How long a team's jobs waited in [zone] for one reason. */
data class ZoneWait(
    val zone: String,
    val reason: WaitReason,
    val millis: Long,
)

/** One of the last 24 hours of a team, summed over all zones. */
data class ReportHour(
    val hoursAgo: Int,
    val asked: Long,
    val waitedMillis: Long,
)

/** Text report on the last 24 hours of a team. All figures are recorded counts; the waits by reason sum to the total. */
class TeamReport(
    private val team: String,
    private val share: Int?,
    private val ceiling: Int?,
    private val parts: List<TeamInZone>,
) {
    private val details = parts.map { it.detail }

    val title: String
        get() = if (share == null) "Team $team (no longer in the table)" else "Team $team (share $share, ceiling $ceiling)"

    val counts: String
        get() =
            "${details.sumOf { it.ran }} ran, ${details.sumOf { it.notRun }} did not run, " +
                "${details.sumOf { it.unknown }} are not known yet."

    /** Waits by zone and reason, longest first. */
    val waits: List<ZoneWait>
        get() =
            parts
                .flatMap { part -> part.detail.waits.map { ZoneWait(part.zone, it.reason, it.millis) } }
                .filter { it.millis > 0 }
                .sortedByDescending { it.millis }

    /** The last 24 hours, oldest first. */
    val hours: List<ReportHour>
        get() {
            val byHour = details.flatMap { it.hours }.groupBy { it.hoursAgo }
            return (HOURS_PER_DAY - 1 downTo 0).map { ago ->
                val hour = byHour[ago].orEmpty()
                ReportHour(ago, hour.sumOf { it.asked }, hour.sumOf { it.waitedMillis })
            }
        }

    /** The report as lines of text. */
    fun lines(): List<String> =
        listOf("$title asked ${details.sumOf { it.asked }} times in the last 24 hours.", "  $counts") +
            "  ${details.sumOf { it.running }} tasks run now; ${details.sumOf { it.waiting }} jobs wait." +
            waitLines().map { "  $it" } + otherLines().map { "  $it" }

    /** Sentences on how long the jobs of the team waited and why. */
    fun waitLines(): List<String> {
        val total = details.sumOf { it.waitedMillis }
        if (total == 0L) return listOf("Of the jobs that no longer wait, none waited for a millisecond or more.")
        val longest = details.maxOf { it.longestWaitMillis }
        val summary = "Its jobs waited ${WaitExplainer.duration(total)} in all, the slowest ${WaitExplainer.duration(longest)}:"
        return listOf(summary) + waits.map { "  ${sentence(it)}" } + listOfNotNull(WaitExplainer.advice(waits.first().reason))
    }

    private fun sentence(wait: ZoneWait): String =
        "${WaitExplainer.duration(wait.millis)}: ${WaitExplainer.cause(wait.reason, TeamId(team), wait.zone)}."

    /** Sentences on preempted tasks, retried tasks and queues that declare more resources than they use. */
    fun otherLines(): List<String> {
        val paused = details.sumOf { it.preempted }
        val retries = details.sumOf { it.retries }
        return listOfNotNull(
            "$paused times a task was paused to make room for other work.".takeIf { paused > 0 },
            "$retries times a task was tried again after it had failed.".takeIf { retries > 0 },
        ) + details.flatMap { it.sizes }.groupBy { it.queue }.mapNotNull { (queue, sizes) -> sizeLine(queue, sizes) }
    }

    private fun sizeLine(
        queue: String,
        sizes: List<QueueUsageDetail>,
    ): String? {
        val maxUsedPercent = sizes.maxOf { it.usedPercent }
        if (maxUsedPercent > OVERDECLARED_MAX_PERCENT) return null
        return "Nine of ten tasks of queue $queue used at most $maxUsedPercent % of the size they declared; " +
            "declaring less lets more of them start."
    }

    private companion object {
        const val HOURS_PER_DAY = 24
        const val OVERDECLARED_MAX_PERCENT = 70
    }
}
