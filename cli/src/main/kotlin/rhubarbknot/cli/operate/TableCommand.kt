package rhubarbknot.cli.operate

import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import rhubarbknot.cli.ExitCode
import rhubarbknot.core.model.Codec
import rhubarbknot.core.registry.AuditRecord
import rhubarbknot.core.table.TableReader
import rhubarbknot.core.table.TableWriter
import rhubarbknot.core.table.TeamRow
import rhubarbknot.core.table.TeamRowChange
import rhubarbknot.daemon.ChangeReply
import rhubarbknot.daemon.StatusReply
import rhubarbknot.daemon.TableReply
import rhubarbknot.daemon.TableRequest
import rhubarbknot.daemon.ZoneDetail
import java.nio.file.Files
import java.nio.file.Path

/** `table show`, `table export FILE`, `table plan FILE`, `table apply FILE`, `table history`. */
@OptIn(ExperimentalCli::class)
class TableCommand : RemoteCommand("table", "Show, export, plan and apply the table; a plan changes nothing") {
    private val action by argument(ArgType.Choice(listOf("show", "export", "plan", "apply", "history"), { it }), description = "What to do")
    private val file by argument(ArgType.String, description = "A CSV file, as spreadsheets write it").optional()
    private val basedOn by option(
        ArgType.Int,
        "based-on",
        description = "Version that the file was made from; the present one if not given",
    )

    override suspend fun operate(): Int {
        when (action) {
            "show" -> show()
            "export" -> Files.writeString(path(), TableWriter.write(present().rows))
            "plan" -> plan(rows())
            "apply" -> apply(rows())
            else -> history()
        }
        return ExitCode.OK
    }

    private fun path(): Path = Path.of(file ?: badInput("table $action needs a file"))

    private suspend fun present(): TableReply = read(TableReply.serializer(), "/v1/table")

    private fun rows(): List<TeamRow> {
        val path = path()
        if (!Files.isReadable(path)) badInput("$path can't be read")
        return TableReader(path.fileName.toString()).read(Files.readString(path)).getOrElse { findings ->
            badInput(findings.joinToString("\n"))
        }
    }

    private suspend fun show() {
        val table = present()
        if (json) return println(Json.encodeToString(TableReply.serializer(), table))
        val text = TextTable(listOf("team", "share", "ceiling", "urgent", "queue_limit", "retries_per_minute", "overtake_seconds"))
        table.rows.forEach { text.row(it.team, it.share, it.ceiling, it.urgent, it.queueLimit, it.retriesPerMinute, it.overtakeSeconds) }
        println("version ${table.version}")
        println(text)
    }

    private suspend fun plan(next: List<TeamRow>): TableReply {
        val present = present()
        val running = running()
        val differences = TeamRowChange.between(present.rows, next)
        if (differences.isEmpty()) println("nothing would change")
        differences.forEach { difference ->
            println(difference)
            val over = (running[difference.team.name] ?: 0) - (difference.after?.ceiling ?: 0)
            if (over > 0) println("  $over of its running tasks are over the new ceiling: they are checkpointed or end by themselves")
        }
        println("based on version ${present.version}")
        return present
    }

    private suspend fun running(): Map<String, Int> =
        read(StatusReply.serializer(), "/v1/status")
            .zones
            .flatMap { read(ZoneDetail.serializer(), "/v1/zones/${it.zone}").teams }
            .groupBy({ it.team }, { it.running })
            .mapValues { it.value.sum() }

    private suspend fun apply(next: List<TeamRow>) {
        val present = plan(next)
        val version = basedOn?.toLong() ?: present.version
        val plain = Json.encodeToString(ListSerializer(TeamRow.serializer()), next)
        // Deriving the change id from the content and the base version makes resending idempotent.
        val id = "table-$version-" + Codec.digest(plain.toByteArray()).take(DIGEST_DIGITS)
        val body = Json.encodeToString(TableRequest.serializer(), TableRequest(next, whole = true, basedOn = version, changeId = id))
        val reply = decode(ChangeReply.serializer(), send(HttpMethod.Put, "/v1/table", body = body))
        println("accepted as version ${reply.version}, " + if (reply.inForce) "in force everywhere" else "not yet in force everywhere")
    }

    private suspend fun history() {
        val records = read(ListSerializer(AuditRecord.serializer()), "/v1/audit?last=1000").filter { it.subject.startsWith("table ") }
        val text = TextTable(listOf("version", "who", "verdict", "before", "after"))
        records.forEach { text.row(it.version, it.actor, if (it.accepted) "accepted" else "refused", it.before, it.after) }
        println(text)
    }

    private companion object {
        const val DIGEST_DIGITS = 16
    }
}
