package rhubarbknot.flowd

import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
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
import java.util.concurrent.ConcurrentHashMap

/**
 * Calls HTTP/1.1 servers over kept connections. A call without an answer in its time closes its connection and all
 * others at rest to that server, since something between the two ends may have lost track of them.
 */
class HttpClient(
    private val selector: SelectorManager,
) {
    private val pools = ConcurrentHashMap<String, ArrayDeque<Connection>>()

    /** What came of a call. */
    sealed interface Outcome {
        class Answered(
            val reply: HttpResponse,
        ) : Outcome

        /** Nothing came back: the call may have been carried out, or may be later. */
        data object NoAnswer : Outcome

        /** No connection could be had, so nothing was sent. */
        data object NotSent : Outcome
    }

    /** Calls the server at [address] and waits [timeoutMillis] at most. */
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
                val current = rested(address) ?: open(address)
                connection = current
                sent = true
                val reply = exchange(current, address, method, path, headers, body)
                if (current.reusable) rest(address, current) else current.close()
                connection = null
                Outcome.Answered(reply)
            }
        } catch (_: TimeoutCancellationException) {
            forget(address)
        } catch (_: CancellationException) {
            // The library cancels a broken connection's channels, which is no end of this call's own coroutine.
            currentCoroutineContext().ensureActive()
        } catch (_: IOException) {
            // The caller of this function learns of it as "no answer".
        } catch (_: IllegalStateException) {
            // What came back was no HTTP: as good as no answer.
        } finally {
            connection?.close()
        }
        return if (sent) Outcome.NoAnswer else Outcome.NotSent
    }

    private fun rested(address: String): Connection? {
        val pool = pools[address] ?: return null
        synchronized(pool) {
            while (pool.isNotEmpty()) {
                val next = pool.removeLast()
                if (!next.input.isClosedForRead) return next
                next.close()
            }
        }
        return null
    }

    private fun rest(
        address: String,
        connection: Connection,
    ) {
        val pool = pools.computeIfAbsent(address) { ArrayDeque() }
        synchronized(pool) { pool.addLast(connection) }
    }

    private fun forget(address: String) {
        val pool = pools.remove(address) ?: return
        synchronized(pool) { pool.forEach { it.close() } }
    }

    private suspend fun open(address: String): Connection {
        val (host, port) = Addresses.split(address)
        val socket = aSocket(selector).tcp().connect(host, port) { noDelay = true }
        return Connection(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
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
        val response = parseResponse(connection.input) ?: throw IOException("closed before an answer")
        return response.use {
            val answer = HttpBody.read(connection.input, it.headers, MAX_ANSWER_BYTES)
            connection.reusable = it.headers["Connection"]?.contains("close", ignoreCase = true) != true
            HttpResponse(it.status, answer)
        }
    }

    private class Connection(
        private val socket: Socket,
        val input: ByteReadChannel,
        val out: ByteWriteChannel,
    ) {
        var reusable = false

        fun close() = socket.close()
    }

    private companion object {
        const val MAX_ANSWER_BYTES = 8 * 1024 * 1024
    }
}
