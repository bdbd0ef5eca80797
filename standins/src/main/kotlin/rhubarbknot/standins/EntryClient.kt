package rhubarbknot.standins

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.websocket.WebSockets
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/** An HTTP answer: status and body. */
data class EntryResponse(
    val status: Int,
    val body: String,
)

/**
 * A client of the entry hosts, with a balancer's view: it takes them in turn and goes on to the next one when one
 * can't be reached. Only requests that are safe to repeat are sent through it.
 */
class EntryClient(
    private val addresses: List<String>,
    private val http: HttpClient,
) {
    private val turn = AtomicInteger()

    /** Sends one request, to another host each time it can't be delivered. */
    suspend fun send(
        method: HttpMethod,
        path: String,
        bearer: String? = null,
        body: String? = null,
        headers: List<HttpHeader> = emptyList(),
    ): EntryResponse {
        var last: Exception? = null
        repeat(addresses.size * ROUNDS) {
            try {
                return once(addresses[Math.floorMod(turn.getAndIncrement(), addresses.size)], method, path, bearer, body, headers)
            } catch (e: IOException) {
                last = e
                delay(RETRY_MILLIS)
            }
        }
        throw IOException("no entry host can be reached (tried ${addresses.joinToString()}): ${last?.message}")
    }

    private suspend fun once(
        address: String,
        method: HttpMethod,
        path: String,
        bearer: String?,
        body: String?,
        headers: List<HttpHeader>,
    ): EntryResponse {
        val response =
            http.request("http://$address$path") {
                this.method = method
                if (bearer != null) header(HttpHeaders.Authorization, "Bearer $bearer")
                headers.forEach { header(it.name, it.value) }
                if (body != null) {
                    contentType(ContentType.Application.Json)
                    setBody(body)
                }
            }
        return EntryResponse(response.status.value, response.bodyAsText())
    }

    companion object {
        private const val ROUNDS = 3
        private const val RETRY_MILLIS = 50L
        private const val REQUEST_TIMEOUT_MILLIS = 75_000L
        private const val CONNECT_TIMEOUT_MILLIS = 2_000L
        private const val MAX_CONNECTIONS = 4_000

        /** A client that callers, operators and executors can share. */
        fun newHttpClient(): HttpClient =
            HttpClient(CIO) {
                expectSuccess = false
                engine {
                    maxConnectionsCount = MAX_CONNECTIONS
                    endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
                    endpoint.pipelineMaxSize = 1
                }
                install(WebSockets)
                install(HttpTimeout) {
                    requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS
                    connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
                }
            }
    }
}

/** One HTTP header. */
data class HttpHeader(
    val name: String,
    val value: String,
)
