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

/** Status and body of an HTTP response. */
data class EntryResponse(
    val status: Int,
    val body: String,
)

/**
 * Client that balances requests over the entry hosts round-robin and fails over to the next host when one is unreachable.
 * Send only idempotent requests through it, because a failed request is retried.
 */
class EntryClient(
    private val addresses: List<String>,
    private val http: HttpClient,
) {
    private val nextAddress = AtomicInteger()

    /** Sends a request, retrying on the next host after each I/O failure. */
    suspend fun send(
        method: HttpMethod,
        path: String,
        bearer: String? = null,
        body: String? = null,
        headers: List<HttpHeader> = emptyList(),
    ): EntryResponse {
        var lastFailure: Exception? = null
        repeat(addresses.size * ATTEMPTS_PER_HOST) {
            try {
                return sendOnce(
                    addresses[Math.floorMod(nextAddress.getAndIncrement(), addresses.size)],
                    method,
                    path,
                    bearer,
                    body,
                    headers,
                )
            } catch (e: IOException) {
                lastFailure = e
                delay(RETRY_DELAY_MILLIS)
            }
        }
        throw IOException("no entry host is reachable (tried ${addresses.joinToString()}): ${lastFailure?.message}")
    }

    private suspend fun sendOnce(
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
        private const val ATTEMPTS_PER_HOST = 3
        private const val RETRY_DELAY_MILLIS = 50L
        private const val REQUEST_TIMEOUT_MILLIS = 75_000L
        private const val CONNECT_TIMEOUT_MILLIS = 2_000L
        private const val MAX_CONNECTIONS = 4_000

        /** Creates an HTTP client that callers, operators and executors can share. */
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
