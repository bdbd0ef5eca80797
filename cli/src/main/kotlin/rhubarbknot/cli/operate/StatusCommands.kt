package rhubarbknot.cli.operate

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.builtins.ListSerializer
import rhubarbknot.cli.ExitCode
import rhubarbknot.core.registry.AuditRecord
import rhubarbknot.daemon.StatusReply
import rhubarbknot.daemon.ZoneDetail
import java.time.Instant

/** `status`: leaders, zone leases and the version in force in each zone. */
@OptIn(ExperimentalCli::class)
class StatusCommand : RemoteCommand("status", "Show who leads, who is cut off, and what is in force where") {
    override suspend fun operate(): Int {
        if (json) {
            println(send(HttpMethod.Get, "/v1/status"))
            return ExitCode.OK
        }
        val status = read(StatusReply.serializer(), "/v1/status")
        println("registry: leader ${status.registryLeader}, version ${status.version}")
        val table = TextTable(listOf("zone", "service", "acting host", "lease left ms", "version in force"))
        status.zones.forEach { zone ->
            val lease = status.leases.filter { it.zone.name == zone.zone }.maxByOrNull { it.millisLeft }
            table.row(zone.zone, if (zone.inService) "in" else "out", lease?.holder ?: "none: cut off", lease?.millisLeft, lease?.version)
        }
        println(table)
        return ExitCode.OK
    }
}

/** Base of the `workers` and `endpoints` commands. */
@OptIn(ExperimentalCli::class)
abstract class ExecutorsCommand(
    name: String,
    private val kind: String,
) : RemoteCommand(name, "List $name of all zones") {
    override suspend fun operate(): Int {
        val zones = read(StatusReply.serializer(), "/v1/status").zones
        val details = zones.map { read(ZoneDetail.serializer(), "/v1/zones/${it.zone}") }
        val table = TextTable(listOf("zone", kind, "status", "rack", "capacity", "free", "running"))
        details.forEach { zone ->
            zone.executors.filter { it.kind == kind }.sortedBy { it.id }.forEach { executor ->
                table.row(zone.zone, executor.id, executor.status, executor.rack, executor.capacity, executor.free, executor.running)
            }
        }
        if (json) {
            val lines = details.flatMap { zone -> zone.executors.filter { it.kind == kind } }
            println(
                kotlinx.serialization.json.Json
                    .encodeToString(ListSerializer(rhubarbknot.host.ExecutorSummary.serializer()), lines),
            )
        } else {
            println(table)
        }
        return ExitCode.OK
    }
}

/** `workers`: lists workers. */
class WorkersCommand : ExecutorsCommand("workers", "worker")

/** `endpoints`: lists endpoints. */
class EndpointsCommand : ExecutorsCommand("endpoints", "endpoint")

/** `audit`: accepted and refused changes. */
@OptIn(ExperimentalCli::class)
class AuditCommand : RemoteCommand("audit", "Show who changed what, and what was refused") {
    private val last by option(ArgType.Int, "last", description = "How many records").default(50)
    private val actor by option(ArgType.String, "actor", description = "Only changes of this operator")
    private val about by option(ArgType.String, "about", description = "Only changes whose subject contains this")

    override suspend fun operate(): Int {
        val all = read(ListSerializer(AuditRecord.serializer()), "/v1/audit?last=$last")
        val records = all.filter { (actor == null || it.actor == actor) && (about == null || about.orEmpty() in it.subject) }
        if (json) {
            println(
                kotlinx.serialization.json.Json
                    .encodeToString(ListSerializer(AuditRecord.serializer()), records),
            )
            return ExitCode.OK
        }
        val table = TextTable(listOf("version", "time", "who", "verdict", "subject", "before", "after"))
        records.forEach {
            val verdict = if (it.accepted) "accepted" else "refused"
            table.row(it.version, Instant.ofEpochMilli(it.atMillis), it.actor, verdict, it.subject, it.before, it.after)
        }
        println(table)
        return ExitCode.OK
    }
}
