package rhubarbknot.flowd

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.Request
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import rhubarbknot.flow.model.RequestLimits
import rhubarbknot.wire.Addresses
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Handles requests; a null response closes the connection without answering. */
fun interface HttpHandler {
    suspend fun handle(request: HttpRequest): HttpResponse?
}

/**
 * HTTP/1.1 server with Ktor's parser. Requests on one connection are answered in order. While it drains, it
 * still answers every request it has read, with a `Connection: close` header, and closes idle connections.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val network: NetworkLoop,
    private val limits: () -> RequestLimits,
    private val handler: HttpHandler,
) {
    private val activeRequests = AtomicInteger()
    private val idleSockets = ConcurrentHashMap<TcpConnection, Unit>()
    private var listener: TcpListener? = null
    private var acceptJob: Job? = null

    @Volatile
    private var draining = false

    suspend fun start(address: String) {
        val (host, port) = Addresses.split(address)
        val serverSocket = network.listen(host, port)
        listener = serverSocket
        acceptJob =
            scope.launch {
                while (isActive) {
                    val socket =
                        try {
                            serverSocket.accept()
                        } catch (_: IOException) {
                            delay(ACCEPT_RETRY_MILLIS)
                            continue
                        } catch (_: RuntimeException) {
                            // Ktor also throws CancellationException; stop accepting only if this coroutine itself was cancelled.
                            currentCoroutineContext().ensureActive()
                            delay(ACCEPT_RETRY_MILLIS)
                            continue
                        }
                    scope.launch { serve(socket) }
                }
            }
    }

    /** From now on, closes each connection after its next response, so that clients reconnect to another node. */
    fun startDraining() {
        draining = true
    }

    /** Stops accepting connections, closes idle ones and waits at most [timeoutMillis] for requests in progress. */
    suspend fun drain(timeoutMillis: Long) {
        draining = true
        acceptJob?.cancel()
        listener?.close()
        idleSockets.keys.forEach { it.close() }
        var waitedMillis = 0L
        while (activeRequests.get() > 0 && waitedMillis < timeoutMillis) {
            delay(DRAIN_POLL_MILLIS)
            waitedMillis += DRAIN_POLL_MILLIS
        }
    }

    private suspend fun serve(socket: TcpConnection) {
        try {
            while (serveOne(socket, socket.input, socket.out)) Unit
            socket.out.flushAndClose()
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // The client closed the connection, so no response can be sent.
        } finally {
            idleSockets.remove(socket)
            socket.close()
        }
    }

    /** Serves one request; returns false if the connection must be closed. */
    private suspend fun serveOne(
        socket: TcpConnection,
        input: ByteReadChannel,
        out: ByteWriteChannel,
    ): Boolean {
        idleSockets[socket] = Unit
        val hasData =
            try {
                withTimeout(limits().idleTimeoutMillis) { input.awaitContent() }
            } catch (_: TimeoutCancellationException) {
                false
            }
        idleSockets.remove(socket)
        if (!hasData) return false
        activeRequests.incrementAndGet()
        try {
            return exchange(input, out, limits())
        } finally {
            activeRequests.decrementAndGet()
        }
    }

    private suspend fun exchange(
        input: ByteReadChannel,
        out: ByteWriteChannel,
        bounds: RequestLimits,
    ): Boolean {
        var keepAlive = false
        val reply =
            try {
                withTimeout(bounds.headerTimeoutMillis) { parseRequest(input) }?.use { head ->
                    val request = readRequest(head, input, out, bounds)
                    keepAlive = !(head.headers["Connection"]?.contains("close", ignoreCase = true) ?: false)
                    handler.handle(request)
                } ?: return false
            } catch (e: HttpMessageException) {
                keepAlive = false
                HttpResponse(e.status)
            } catch (_: TimeoutCancellationException) {
                keepAlive = false
                HttpResponse(HttpStatusCode.RequestTimeout.value)
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                keepAlive = false
                if (e is IllegalStateException || e is IllegalArgumentException) HttpResponse(HttpBody.STATUS_BAD_REQUEST) else throw e
            } catch (_: io.ktor.http.cio.ParserException) {
                keepAlive = false
                HttpResponse(HttpBody.STATUS_BAD_REQUEST)
            }
        val keepOpen = keepAlive && !draining && !reply.closeConnection
        write(out, reply, keepOpen)
        return keepOpen
    }

    private suspend fun readRequest(
        head: Request,
        input: ByteReadChannel,
        out: ByteWriteChannel,
        bounds: RequestLimits,
    ): HttpRequest {
        var headerBytes = head.uri.length
        head.headers.offsets().forEach {
            headerBytes +=
                head.headers.nameAtOffset(it).length + head.headers.valueAtOffset(it).length + HEADER_OVERHEAD_BYTES
        }
        if (headerBytes > bounds.maxHeaderBytes) throw HttpMessageException(STATUS_HEADERS_TOO_LARGE, "headers of $headerBytes bytes")
        if (head.headers["Expect"]?.contains("100-continue", ignoreCase = true) == true) {
            out.writeByteArray(CONTINUE_RESPONSE)
            out.flush()
        }
        val body = withTimeout(bounds.idleTimeoutMillis) { HttpBody.read(input, head.headers, bounds.maxBodyBytes) }
        return HttpRequest(head.method.value, head.uri.toString(), body, head.headers, isClosed = { input.isClosedForRead })
    }

    private suspend fun write(
        out: ByteWriteChannel,
        reply: HttpResponse,
        keepAlive: Boolean,
    ) {
        val head = RequestResponseBuilder()
        head.responseLine("HTTP/1.1", reply.status, HttpStatusCode.fromValue(reply.status).description)
        head.headerLine("Content-Length", reply.body.size.toString())
        if (reply.body.isNotEmpty()) head.headerLine("Content-Type", reply.contentType)
        reply.headers.forEach { (name, value) -> head.headerLine(name, value) }
        if (!keepAlive) head.headerLine("Connection", "close")
        head.emptyLine()
        out.writePacket(head.build())
        if (reply.body.isNotEmpty()) out.writeByteArray(reply.body)
        out.flush()
    }

    private companion object {
        const val ACCEPT_RETRY_MILLIS = 20L
        const val DRAIN_POLL_MILLIS = 20L
        const val STATUS_HEADERS_TOO_LARGE = 431

        /** Colon, space and CRLF of each header. */
        const val HEADER_OVERHEAD_BYTES = 4
        val CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
