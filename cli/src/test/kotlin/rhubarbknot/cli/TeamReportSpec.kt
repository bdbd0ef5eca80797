package rhubarbknot.cli

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.cli.report.HtmlReport
import rhubarbknot.cli.report.TeamInZone
import rhubarbknot.cli.report.TeamReport
import rhubarbknot.core.model.WaitReason
import rhubarbknot.daemon.HourDetail
import rhubarbknot.daemon.QueueUsageDetail
import rhubarbknot.daemon.TeamDetail
import rhubarbknot.daemon.WaitSum
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

@DisplayName("a team's report of a day")
class TeamReportSpec {
    private fun detail(vararg waits: WaitSum) =
        TeamDetail(
            team = "crew",
            limit = 10,
            running = 1,
            waiting = 0,
            asked = 9,
            ran = 8,
            notRun = 1,
            unknown = 0,
            waitedMillis = waits.sumOf { it.millis },
            longestWaitMillis = 60_000,
            retries = 0,
            preempted = 0,
            waits = waits.toList(),
            hours = listOf(HourDetail(hoursAgo = 3, asked = 9, ran = 8, waitedMillis = waits.sumOf { it.millis })),
            sizes = listOf(QueueUsageDetail("plans", usedPercent = 30), QueueUsageDetail("tallies", usedPercent = 95)),
        )

    private val report =
        TeamReport(
            "crew",
            2,
            40,
            listOf(
                TeamInZone("kalaa", detail(WaitSum(WaitReason.CELL_FULL, 120_000), WaitSum(WaitReason.ZONE_OUT, 30_000))),
                TeamInZone("jemmal", detail(WaitSum(WaitReason.TEAM_AT_CEILING, 200_000))),
            ),
        )

    @Test
    fun `lists each wait reason with its zone, longest first, adding up to the total wait`() {
        expectThat(report.waits.map { it.millis }).isEqualTo(listOf(200_000L, 120_000L, 30_000L))
        expectThat(report.lines()).contains("  Its jobs waited 5 min 50 s in all, the slowest 1 min 0 s:")
        expectThat(report.lines()).contains("    3 min 20 s: team crew was already running as much as its ceiling allows in zone jemmal.")
        expectThat(report.lines()).contains("  A higher ceiling for this team would have helped.")
    }

    @Test
    fun `sums the zones by hour`() {
        expectThat(report.hours.size).isEqualTo(24)
        expectThat(report.hours.single { it.hoursAgo == 3 }.waitedMillis).isEqualTo(350_000L)
        expectThat(report.hours.first().hoursAgo).isEqualTo(23)
    }

    @Test
    fun `names only queues that declare far more than they use`() {
        val text = report.lines().joinToString("\n")
        expectThat(text).contains("queue plans used at most 30 %")
        expectThat("tallies" in text).isEqualTo(false)
    }

    @Test
    fun `is one HTML page with the text of the report and a plot, or the reason why there is none`() {
        val page = HtmlReport.page(listOf(report))
        expectThat(page).contains("Its jobs waited 5 min 50 s in all")
        expectThat("data:image/png;base64," in page || "The plot is left out" in page).isEqualTo(true)
    }
}
