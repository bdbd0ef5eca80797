package rhubarbknot.flowd

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import rhubarbknot.wire.Addresses
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap

/**
 * HTTP/1.1 client with persistent connections. A call that times out closes its connection and all idle ones to the
 * same server, because a device on the network path may have dropped their state.
 */
class HttpClient(
    private val network: NetworkLoop,
) {
    private val idleConnections = ConcurrentHashMap<String, ArrayDeque<Connection>>()

    /** Result of a call. */
    sealed interface Outcome {
        class Response(
            val reply: HttpResponse,
        ) : Outcome

        /** No response was received: the server may have processed the request, or may still do so. */
        data object NoResponse : Outcome

        /** No connection could be established, so no request was sent. */
        data object NotSent : Outcome

        /** The connection was refused, by the host or on the way to it, so no request was sent. */
        data object ConnectionRefused : Outcome
    }

    /** Sends a request to the server at [address] and waits at most [timeoutMillis] for the response. */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        headers: List<Pair<String, String>>,
        body: ByteArray,
        timeoutMillis: Long,
    ): Outcome {
        var connection: Connection? = null
        var sent = false
        try {
            return withTimeout(timeoutMillis) {
                val current = takeIdle(address) ?: openConnection(address)
                connection = current
                sent = true
                val reply = exchange(current, address, method, path, headers, body)
                if (current.reusable) returnIdle(address, current) else current.close()
                connection = null
                Outcome.Response(reply)
            }
        } catch (_: TimeoutCancellationException) {
            closeIdle(address)
        } catch (_: CancellationException) {
            // Ktor cancels the channels of a broken connection; rethrow only if this coroutine itself was cancelled.
            currentCoroutineContext().ensureActive()
        } catch (e: ConnectException) {
            if (!sent && e.isRefusal) return Outcome.ConnectionRefused
        } catch (_: Exception) {
            // The connection failed or the response is not valid HTTP. Whatever a server sends, the caller gets an outcome.
        } finally {
            connection?.close()
        }
        return if (sent) Outcome.NoResponse else Outcome.NotSent
    }

    /** A [ConnectException] also reports a connection attempt that timed out, which says nothing about the process. */
    private val ConnectException.isRefusal: Boolean get() = message?.startsWith("Connection refused") == true

    private fun takeIdle(address: String): Connection? {
        val pool = idleConnections[address] ?: return null
        synchronized(pool) {
            while (pool.isNotEmpty()) {
                val next = pool.removeLast()
                if (!next.input.isClosedForRead) return next
                next.close()
            }
        }
        return null
    }

    private fun returnIdle(
        address: String,
        connection: Connection,
    ) {
        val pool = idleConnections.computeIfAbsent(address) { ArrayDeque() }
        synchronized(pool) { pool.addLast(connection) }
    }

    private fun closeIdle(address: String) {
        val pool = idleConnections.remove(address) ?: return
        synchronized(pool) { pool.forEach { it.close() } }
    }

    private suspend fun openConnection(address: String): Connection {
        val (host, port) = Addresses.split(address)
        return Connection(network.connect(host, port))
    }

    private suspend fun exchange(
        connection: Connection,
        address: String,
        method: String,
        path: String,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ): HttpResponse {
        val head = RequestResponseBuilder()
        head.requestLine(HttpMethod.parse(method), path, "HTTP/1.1")
        head.headerLine("Host", address)
        head.headerLine("Content-Length", body.size.toString())
        if (body.isNotEmpty()) head.headerLine("Content-Type", "application/json")
        headers.forEach { (name, value) -> head.headerLine(name, value) }
        head.emptyLine()
        connection.out.writePacket(head.build())
        if (body.isNotEmpty()) connection.out.writeByteArray(body)
        connection.out.flush()
        val response = parseResponse(connection.input) ?: throw IOException("connection closed before a response was received")
        return response.use {
            val responseBody = HttpBody.read(connection.input, it.headers, MAX_RESPONSE_BYTES)
            connection.reusable = it.headers["Connection"]?.contains("close", ignoreCase = true) != true
            HttpResponse(it.status, responseBody)
        }
    }

    private class Connection(
        private val socket: TcpConnection,
    ) {
        val input: ByteReadChannel get() = socket.input
        val out: ByteWriteChannel get() = socket.out
        var reusable = false

        fun close() = socket.close()
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 2 * 1024 * 1024
    }
}
