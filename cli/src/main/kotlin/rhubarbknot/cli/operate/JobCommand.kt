package rhubarbknot.cli.operate

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.json.Json
import rhubarbknot.cli.ExitCode
import rhubarbknot.daemon.ExplainReply
import rhubarbknot.daemon.JobReply
import rhubarbknot.daemon.JobRequest

/** `job submit QUEUE`, `job status TEAM/ID`, `job cancel TEAM/ID`, `job explain TEAM/ID`. */
@OptIn(ExperimentalCli::class)
class JobCommand : RemoteCommand("job", "Submit jobs, ask for their state, cancel them, and say why they waited") {
    private val action by argument(ArgType.Choice(listOf("submit", "status", "cancel", "explain"), { it }), description = "What to do")
    private val target by argument(ArgType.String, description = "Queue to submit to, or TEAM/ID of a job")
    private val id by option(ArgType.String, "id", description = "Id of the job; give it again to resend")
    private val kind by option(ArgType.String, "kind", description = "call, batch or service")
    private val tasks by option(ArgType.Int, "tasks", description = "How many tasks")
    private val gang by option(ArgType.Boolean, "gang", description = "All tasks start together")
    private val processors by option(ArgType.Double, "processors", description = "Processors of each task")
    private val memory by option(ArgType.Int, "memory-mb", description = "Memory of each task")
    private val urgent by option(ArgType.Boolean, "urgent", description = "Starts before other work")
    private val once by option(ArgType.Boolean, "at-most-once", description = "Not idempotent: is never started twice")
    private val runMillis by option(ArgType.Int, "expected-run-millis", description = "Expected run time")
    private val payload by option(ArgType.String, "payload", description = "Passed to the executor unchanged")
    private val wait by option(ArgType.Int, "wait-millis", description = "How long to wait for the outcome")

    override suspend fun operate(): Int =
        when (action) {
            "submit" -> submit()
            "status" -> show(send(HttpMethod.Get, "/v1/jobs/$target?wait=${wait ?: 0}", teamKey))
            "cancel" -> cancel()
            else -> explain()
        }

    private suspend fun submit(): Int {
        val request =
            JobRequest(
                queue = target,
                id = id,
                kind = kind ?: "call",
                tasks = tasks ?: 1,
                gang = gang == true,
                processors = processors ?: 1.0,
                memoryMb = memory ?: 0,
                idempotent = once != true,
                urgent = urgent == true,
                expectedRunMillis = runMillis?.toLong() ?: 0,
                payload = payload.orEmpty(),
                waitMillis = wait?.toLong() ?: 0,
            )
        return show(send(HttpMethod.Post, "/v1/jobs", teamKey, Json.encodeToString(JobRequest.serializer(), request)))
    }

    private fun show(text: String): Int {
        if (json) {
            println(text)
            return ExitCode.OK
        }
        val reply = decode(JobReply.serializer(), text)
        val outcome =
            when (reply.outcome) {
                "ran" -> if (reply.success == true) "it ran: ${reply.answer}" else "it ran and failed: ${reply.answer}"
                "notRun" -> "it did not run (${reply.code}): ${reply.detail}"
                "unknown" -> "the outcome is not known yet: ${reply.detail}"
                else -> "it is ${reply.phase}: ${reply.running} running, ${reply.completed} of ${reply.tasks} done"
            }
        println("${reply.id} in zone ${reply.zone}: $outcome")
        return ExitCode.OK
    }

    private suspend fun cancel(): Int {
        println(send(HttpMethod.Delete, "/v1/jobs/$target", teamKey))
        return ExitCode.OK
    }

    private suspend fun explain(): Int {
        val text = send(HttpMethod.Get, "/v1/jobs/$target/explain", teamKey)
        if (json) {
            println(text)
            return ExitCode.OK
        }
        val reply = decode(ExplainReply.serializer(), text)
        println("${reply.id}:")
        reply.sentences.forEach { println("  $it") }
        reply.advice?.let { println("  $it") }
        return ExitCode.OK
    }
}
