package rhubarbknot.cli.trace

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** One line of a decision log. [at] is Unix milliseconds by the clock of the process that wrote it. */
data class LogLine(
    val at: Long,
    val node: String,
    val event: String,
    val id: String,
    val why: String,
) {
    companion object {
        /** Parses the JSON object that starts at the first brace of [text]; null if there is none. */
        fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val fields =
                try {
                    Json.parseToJsonElement(text.substring(start)) as? JsonObject ?: return null
                } catch (_: SerializationException) {
                    return null
                }
            val at = (fields["at"] as? JsonPrimitive)?.longOrNull ?: return null
            return LogLine(at, fields.text("node"), fields.text("event"), fields.text("id"), fields.text("why"))
        }

        private fun JsonObject.text(name: String): String = (this[name] as? JsonPrimitive)?.content.orEmpty()
    }
}

/**
 * Trace of one job through all processes, from their decision logs: the decisions about it, and the events of leaders,
 * disks and its workers in the same period.
 */
class JobTrace private constructor(
    val lines: List<LogLine>,
) {
    /** One line for each step, with the time since the first. */
    fun render(): String {
        val first = lines.firstOrNull()?.at ?: return "no log line mentions this job"
        return lines.joinToString("\n") { line ->
            val seconds = (line.at - first) / MILLIS_PER_SECOND
            "%+9.3fs  %-20s %-22s %s %s".format(seconds, line.node, line.event, line.id, line.why).trimEnd()
        }
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Events that can explain a wait or a loss of any job. */
        private val contextEvents =
            setOf(
                "leading",
                "leadership_lost",
                "clock_gap",
                "leader_changed",
                "peer_lost",
                "disk_failed",
                "disk_regained",
                "failed",
                "stopping",
                "members_proposed",
                "lines_dropped",
            )

        /** How long before the first line of a job an event still counts as context. */
        private const val BEFORE_MILLIS = 2_000L

        /** How long after the last line of a job the loss of its leader or worker may still be detected. */
        private const val AFTER_MILLIS = 8_000L

        /** The trace of the job called [id] in [lines], which may come from any number of processes in any order. */
        fun of(
            id: String,
            lines: List<LogLine>,
        ): JobTrace {
            val jobLines = lines.filter { id in it.id || id in it.why }
            if (jobLines.isEmpty()) return JobTrace(emptyList())
            val workers = jobLines.flatMap { workersIn(it.why) }.toSet()
            val from = jobLines.minOf { it.at } - BEFORE_MILLIS
            val to = jobLines.maxOf { it.at } + AFTER_MILLIS
            val context =
                lines.filter {
                    it.at in from..to &&
                        (it.event in contextEvents || (it.event.startsWith("worker_") && workerIdOf(it.id) in workers))
                }
            return JobTrace((jobLines + context).distinct().sortedBy { it.at })
        }

        private fun workersIn(why: String): List<String> =
            Regex("worker=([^ ,]+)|@([^ ,]+)").findAll(why).map { workerIdOf(it.groupValues[1].ifEmpty { it.groupValues[2] }) }.toList()

        /** The id of the worker in [incarnation], which is written as `id/born`. */
        private fun workerIdOf(incarnation: String): String = incarnation.substringBefore('/')
    }
}
