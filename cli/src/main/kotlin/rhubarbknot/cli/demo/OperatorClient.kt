package rhubarbknot.cli.demo

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import rhubarbknot.core.table.TeamRow
import rhubarbknot.standins.EntryClient

/** Client of the operator API. It resends each change under the same change id until the change is in force. */
class OperatorClient(
    private val client: EntryClient,
    private val token: String,
) {
    private var changeCount = 0

    suspend fun applyTable(rows: List<TeamRow>) {
        val rowsJson =
            rows.joinToString(",") {
                """{"team":"${it.team}","share":${it.share},"ceiling":${it.ceiling},"urgent":${it.urgent}}"""
            }
        change(HttpMethod.Put, "/v1/table", """"rows":[$rowsJson],"basedOn":$LATEST_VERSION""")
    }

    /** Issues a key and returns its secret. */
    suspend fun issueKey(
        id: String,
        team: String,
    ): String = change(HttpMethod.Post, "/v1/keys/$id", """"team":"$team"""").getValue("secret").jsonPrimitive.content

    suspend fun withdrawKey(id: String) {
        change(HttpMethod.Delete, "/v1/keys/$id", "")
    }

    suspend fun setZoneInService(
        zone: String,
        inService: Boolean,
    ) {
        change(HttpMethod.Put, "/v1/zones/$zone", """"inService":$inService""")
    }

    private suspend fun change(
        method: HttpMethod,
        path: String,
        fields: String,
    ): JsonObject {
        val id = "demo-change-${changeCount++}"
        val body = if (method == HttpMethod.Delete) null else """{"changeId":"$id"${if (fields.isEmpty()) "" else ",$fields"}}"""
        while (true) {
            val answer = client.send(method, path, token, body)
            if (answer.status == OK) return Json.parseToJsonElement(answer.body).jsonObject
            check(answer.status !in REFUSED_STATUSES) { "$path refused: ${answer.body}" }
            delay(RETRY_MILLIS)
        }
    }

    private companion object {
        const val OK = 200
        val REFUSED_STATUSES = setOf(400, 401, 404, 409, 422)
        const val RETRY_MILLIS = 200L
        const val LATEST_VERSION = 1_000_000_000L
    }
}
