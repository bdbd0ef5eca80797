package rhubarbknot.cli.operate

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional
import kotlinx.coroutines.delay
import rhubarbknot.cli.ExitCode
import rhubarbknot.daemon.ChangeReply
import rhubarbknot.daemon.StatusReply
import rhubarbknot.daemon.TableReply
import rhubarbknot.daemon.ZoneDetail
import java.util.UUID

/** Base of commands that change the configuration; prints the result of the change. */
@OptIn(ExperimentalCli::class)
abstract class ChangeCommand(
    name: String,
    description: String,
) : RemoteCommand(name, description) {
    private val changeIdFlag by option(
        ArgType.String,
        "change-id",
        description = "Id of this change; give it again to resend after a lost answer",
    )

    protected val changeId: String by lazy { changeIdFlag ?: "cli-${UUID.randomUUID()}" }

    protected suspend fun change(
        method: HttpMethod,
        path: String,
        body: String?,
    ): ChangeReply {
        val text = send(method, path, body = body)
        val reply = decode(ChangeReply.serializer(), text)
        if (json) println(text) else println(describe(reply))
        return reply
    }

    private fun describe(reply: ChangeReply): String {
        val scope = if (reply.inForce) "in force everywhere" else "committed; not yet in force in a zone that does not answer"
        return "accepted as version ${reply.version}, $scope" + reply.secret?.let { "\nsecret, shown this once: $it" }.orEmpty()
    }
}

/** `key give ID --team TEAM`, `key withdraw ID`, `key list`. */
@OptIn(ExperimentalCli::class)
class KeyCommand : ChangeCommand("key", "Issue, withdraw and list keys") {
    private val action by argument(ArgType.Choice(listOf("give", "withdraw", "list"), { it }), description = "What to do")
    private val id by argument(ArgType.String, description = "Name of the key").optional()
    private val team by option(ArgType.String, "team", description = "Team of the key")

    override suspend fun operate(): Int {
        when (action) {
            "give" ->
                change(
                    HttpMethod.Post,
                    "/v1/keys/${requiredId()}",
                    """{"changeId":"$changeId","team":"${team ?: badInput("key give needs --team")}"}""",
                )
            "withdraw" -> change(HttpMethod.Delete, "/v1/keys/${requiredId()}?changeId=$changeId", null)
            else -> list()
        }
        return ExitCode.OK
    }

    private fun requiredId(): String = id ?: badInput("key $action needs the name of a key")

    private suspend fun list() {
        val table = TextTable(listOf("key", "team", "state"))
        read(StatusReply.serializer(), "/v1/status").keys.forEach {
            table.row(it.keyId, it.team, if (it.withdrawn) "withdrawn" else "in force")
        }
        println(table)
    }
}

/** `zone out ZONE`, `zone in ZONE`, `zone status ZONE`. */
@OptIn(ExperimentalCli::class)
class ZoneCommand : ChangeCommand("zone", "Take zones out of service, put them back, and watch them drain") {
    private val action by argument(ArgType.Choice(listOf("out", "in", "status"), { it }), description = "What to do")
    private val zone by argument(ArgType.String, description = "The zone")
    private val wait by option(ArgType.Int, "wait", description = "After 'out': seconds to watch the zone drain")

    override suspend fun operate(): Int {
        if (action == "status") {
            println(progress())
            return ExitCode.OK
        }
        change(HttpMethod.Put, "/v1/zones/$zone", """{"changeId":"$changeId","inService":${action == "in"}}""")
        repeat(if (action == "out") wait ?: 0 else 0) {
            val left = progress()
            println(left)
            if (left.running == 0) return ExitCode.OK
            delay(SECOND_MILLIS)
        }
        return ExitCode.OK
    }

    private suspend fun progress(): ZoneDrainProgress {
        val detail = read(ZoneDetail.serializer(), "/v1/zones/$zone")
        return ZoneDrainProgress(zone, detail.teams.sumOf { it.running }, detail.teams.sumOf { it.waiting }, detail.cutOff)
    }

    private companion object {
        const val SECOND_MILLIS = 1_000L
    }
}

/** Tasks that still run and jobs that still wait in a zone that drains. */
data class ZoneDrainProgress(
    val zone: String,
    val running: Int,
    val waiting: Int,
    val cutOff: Boolean,
) {
    override fun toString(): String = "zone $zone: $running running, $waiting waiting" + if (cutOff) ", cut off from the registry" else ""
}

/** `team list`, `team show TEAM`. */
@OptIn(ExperimentalCli::class)
class TeamCommand : RemoteCommand("team", "Show teams: their row, and what they run and wait for in each zone") {
    private val team by argument(ArgType.String, description = "Only this team").optional()

    override suspend fun operate(): Int {
        val rows = read(TableReply.serializer(), "/v1/table").rows.associateBy { it.team.name }
        val zones = read(StatusReply.serializer(), "/v1/status").zones
        val table =
            TextTable(listOf("team", "share", "ceiling", "zone", "part of ceiling", "running", "waiting", "ran", "refused", "unknown"))
        zones.map { read(ZoneDetail.serializer(), "/v1/zones/${it.zone}") }.forEach { zone ->
            zone.teams.filter { team == null || it.team == team }.forEach {
                val row = rows[it.team]
                table.row(it.team, row?.share, row?.ceiling, zone.zone, it.limit, it.running, it.waiting, it.ran, it.notRun, it.unknown)
            }
        }
        println(table)
        return ExitCode.OK
    }
}
