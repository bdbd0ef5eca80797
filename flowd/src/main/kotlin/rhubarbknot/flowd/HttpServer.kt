package rhubarbknot.flowd

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.Request
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
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

/** Answers requests; null closes the connection without an answer. */
fun interface HttpHandler {
    suspend fun handle(request: HttpRequest): HttpResponse?
}

/**
 * An HTTP/1.1 server on Ktor's sockets and parser. Requests on one connection are answered in order. When it drains,
 * each request that was read is answered whole, with word that the connection closes, and idle connections are closed.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val limits: () -> RequestLimits,
    private val handler: HttpHandler,
) {
    private val active = AtomicInteger()
    private val idle = ConcurrentHashMap<Socket, Unit>()
    private var listener: ServerSocket? = null
    private var accepting: Job? = null

    @Volatile
    private var draining = false

    suspend fun start(address: String) {
        val (host, port) = Addresses.split(address)
        val bound = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
        listener = bound
        accepting =
            scope.launch {
                while (isActive) {
                    val socket =
                        try {
                            bound.accept()
                        } catch (_: IOException) {
                            delay(ACCEPT_PAUSE_MILLIS)
                            continue
                        } catch (_: RuntimeException) {
                            // The library cancels, too: only this coroutine's own end ends the accepting.
                            currentCoroutineContext().ensureActive()
                            delay(ACCEPT_PAUSE_MILLIS)
                            continue
                        }
                    scope.launch { serve(socket) }
                }
            }
    }

    /** Tells clients to go elsewhere: every answer from now on closes its connection. */
    fun announceEnd() {
        draining = true
    }

    /** Takes no more connections, closes those at rest and waits for requests under way, [withinMillis] at most. */
    suspend fun drain(withinMillis: Long) {
        draining = true
        accepting?.cancel()
        listener?.close()
        idle.keys.forEach { it.close() }
        var waited = 0L
        while (active.get() > 0 && waited < withinMillis) {
            delay(DRAIN_STEP_MILLIS)
            waited += DRAIN_STEP_MILLIS
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val out = socket.openWriteChannel(autoFlush = false)
            while (serveOne(socket, input, out)) Unit
            out.flushAndClose()
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // The client went away: there is nobody left to tell.
        } finally {
            idle.remove(socket)
            socket.close()
        }
    }

    /** Serves one request; false when the connection is to be closed. */
    private suspend fun serveOne(
        socket: Socket,
        input: ByteReadChannel,
        out: ByteWriteChannel,
    ): Boolean {
        val bounds = limits()
        idle[socket] = Unit
        val arrived =
            try {
                withTimeout(bounds.idleTimeoutMillis) { input.awaitContent() }
            } catch (_: TimeoutCancellationException) {
                false
            }
        idle.remove(socket)
        if (!arrived) return false
        active.incrementAndGet()
        try {
            return exchange(input, out, bounds)
        } finally {
            active.decrementAndGet()
        }
    }

    private suspend fun exchange(
        input: ByteReadChannel,
        out: ByteWriteChannel,
        bounds: RequestLimits,
    ): Boolean {
        var keep = false
        val reply =
            try {
                withTimeout(bounds.headerTimeoutMillis) { parseRequest(input) }?.use { head ->
                    val request = readWhole(head, input, out, bounds)
                    keep = !(head.headers["Connection"]?.contains("close", ignoreCase = true) ?: false)
                    handler.handle(request)
                } ?: return false
            } catch (e: HttpMessageException) {
                keep = false
                HttpResponse(e.status)
            } catch (_: TimeoutCancellationException) {
                keep = false
                HttpResponse(HttpStatusCode.RequestTimeout.value)
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                keep = false
                if (e is IllegalStateException || e is IllegalArgumentException) HttpResponse(HttpBody.STATUS_BAD_REQUEST) else throw e
            } catch (_: io.ktor.http.cio.ParserException) {
                keep = false
                HttpResponse(HttpBody.STATUS_BAD_REQUEST)
            }
        val goOn = keep && !draining && !reply.closes
        write(out, reply, goOn)
        return goOn
    }

    private suspend fun readWhole(
        head: Request,
        input: ByteReadChannel,
        out: ByteWriteChannel,
        bounds: RequestLimits,
    ): HttpRequest {
        var headerBytes = head.uri.length
        head.headers.offsets().forEach {
            headerBytes +=
                head.headers.nameAtOffset(it).length + head.headers.valueAtOffset(it).length + HEADER_EXTRA_BYTES
        }
        if (headerBytes > bounds.maxHeaderBytes) throw HttpMessageException(STATUS_HEADERS_TOO_LARGE, "headers of $headerBytes bytes")
        if (head.headers["Expect"]?.contains("100-continue", ignoreCase = true) == true) {
            out.writeByteArray(CONTINUE)
            out.flush()
        }
        val body = withTimeout(bounds.idleTimeoutMillis) { HttpBody.read(input, head.headers, bounds.maxBodyBytes) }
        return HttpRequest(head.method.value, head.uri.toString(), body, head.headers)
    }

    private suspend fun write(
        out: ByteWriteChannel,
        reply: HttpResponse,
        keep: Boolean,
    ) {
        val head = RequestResponseBuilder()
        head.responseLine("HTTP/1.1", reply.status, HttpStatusCode.fromValue(reply.status).description)
        head.headerLine("Content-Length", reply.body.size.toString())
        if (reply.body.isNotEmpty()) head.headerLine("Content-Type", reply.contentType)
        reply.headers.forEach { (name, value) -> head.headerLine(name, value) }
        if (!keep) head.headerLine("Connection", "close")
        head.emptyLine()
        out.writePacket(head.build())
        if (reply.body.isNotEmpty()) out.writeByteArray(reply.body)
        out.flush()
    }

    private companion object {
        const val ACCEPT_PAUSE_MILLIS = 20L
        const val DRAIN_STEP_MILLIS = 20L
        const val STATUS_HEADERS_TOO_LARGE = 431

        /** Colon, space and line end of each header. */
        const val HEADER_EXTRA_BYTES = 4
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
