package rhubarbknot.cli.report

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import rhubarbknot.cli.ExitCode
import rhubarbknot.cli.operate.RemoteCommand
import rhubarbknot.daemon.StatusReply
import rhubarbknot.daemon.TableReply
import rhubarbknot.daemon.ZoneDetail
import java.io.File
import java.io.IOException

/** `report`: summary of the last 24 hours for each team, for readers without a technical background. */
@OptIn(ExperimentalCli::class)
class ReportCommand : RemoteCommand("report", "What each team asked for in the last 24 hours, what ran, and why it waited") {
    private val team by option(ArgType.String, "team", description = "Only this team")
    private val html by option(ArgType.String, "html", description = "Write the report with a plot to this file")

    override suspend fun operate(): Int {
        val parts = gather()
        val file = html
        when {
            file != null -> write(File(file), HtmlReport.page(reports(parts)))
            json -> println(Json.encodeToString(ListSerializer(TeamInZone.serializer()), parts))
            else -> reports(parts).forEach { println(it.lines().joinToString("\n")) }
        }
        return ExitCode.OK
    }

    private suspend fun gather(): List<TeamInZone> =
        read(StatusReply.serializer(), "/v1/status")
            .zones
            .map { read(ZoneDetail.serializer(), "/v1/zones/${it.zone}") }
            .flatMap { zone -> zone.teams.map { TeamInZone(zone.zone, it) } }
            .filter { team == null || it.detail.team == team }

    private suspend fun reports(parts: List<TeamInZone>): List<TeamReport> {
        val rows = read(TableReply.serializer(), "/v1/table").rows.associateBy { it.team.name }
        return parts
            .groupBy { it.detail.team }
            .toSortedMap()
            .map { (name, inZones) -> TeamReport(name, rows[name]?.share, rows[name]?.ceiling, inZones) }
    }

    private fun write(
        file: File,
        text: String,
    ) {
        try {
            file.writeText(text)
        } catch (e: IOException) {
            badInput("--html $file: can't be written: ${e.message}")
        }
        println("written to $file")
    }
}
