package rhubarbknot.cli.demo

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import rhubarbknot.standins.EntryClient
import java.io.IOException

/** One job that a demo caller submits. [fields] holds further JSON fields of the request. */
data class DemoJob(
    val id: String,
    val team: String,
    val workload: String,
    val key: String,
    val fields: String,
    val expectsAnswer: Boolean,
)

/** Outcome of a [DemoJob]. [answerMismatch] is set when the caller received an answer that belongs to another job. */
data class DemoJobResult(
    val job: DemoJob,
    val outcome: String,
    val waitedMillis: Long,
    val answerMismatch: Boolean,
)

/** Submits each job under one id until its outcome is known, and checks that the answer belongs to the job. */
class JobSubmitter(
    private val client: EntryClient,
) {
    private val results = ArrayList<DemoJobResult>()

    @Synchronized
    fun results(): List<DemoJobResult> = results.toList()

    /**
     * Resends [job] until its outcome is final or [deadline] has passed. After that the outcome counts as lost, or as
     * unknown if that was the last answer.
     */
    suspend fun submit(
        job: DemoJob,
        deadline: Long,
        clock: () -> Long,
    ) {
        val body = """{"queue":"${job.team}","id":"${job.id}","payload":"${job.id}","waitMillis":3000,${job.fields}}"""
        var outcome = LOST
        var answer: JsonObject? = null
        while (outcome !in FINAL_OUTCOMES && clock() < deadline) {
            answer = post(body, job.key)
            outcome = outcomeOf(answer)
            if (outcome !in FINAL_OUTCOMES) delay(RETRY_MILLIS)
        }
        val text = answer?.get("answer")?.jsonPrimitive?.contentOrNull
        val answerMismatch = outcome == "ran" && job.expectsAnswer && text != "answer to ${job.id}"
        val waitedMillis = answer?.get("waitedMillis")?.jsonPrimitive?.longOrNull ?: 0
        record(DemoJobResult(job, outcome, waitedMillis, answerMismatch))
    }

    private suspend fun post(
        body: String,
        key: String,
    ): JsonObject? =
        try {
            Json.parseToJsonElement(client.send(HttpMethod.Post, "/v1/jobs", key, body).body).jsonObject
        } catch (_: IOException) {
            null
        }

    private fun outcomeOf(answer: JsonObject?): String {
        val outcome = answer?.get("outcome")?.jsonPrimitive?.contentOrNull ?: return LOST
        val code = answer["code"]?.jsonPrimitive?.contentOrNull
        // Nothing ran, so a caller may resend the job later.
        return if (outcome == "notRun" && code in RETRYABLE_CODES) LOST else outcome
    }

    @Synchronized
    private fun record(result: DemoJobResult) {
        results.add(result)
    }

    private companion object {
        const val LOST = "lost"
        const val RETRY_MILLIS = 300L
        val FINAL_OUTCOMES = setOf("ran", "notRun")
        val RETRYABLE_CODES = setOf("zone_unreachable", "queue_full", "shutting_down", "retention_full")
    }
}
