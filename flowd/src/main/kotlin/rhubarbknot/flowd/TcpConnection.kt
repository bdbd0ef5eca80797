package rhubarbknot.flowd

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.io.Buffer
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.io.Closeable
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/** A TCP connection of a [NetworkLoop]. Nothing is read ahead of what its reader asks for, except in one read of the socket. */
class TcpConnection internal constructor(
    channel: SocketChannel,
    private val readiness: SocketReadiness,
) : Closeable {
    val input: ByteReadChannel = SocketInput(channel, readiness)
    val out: ByteWriteChannel = SocketOutput(channel, readiness)

    override fun close() = readiness.close()
}

/** Accepts the TCP connections to one address of a [NetworkLoop]. */
class TcpListener internal constructor(
    private val channel: ServerSocketChannel,
    private val selector: Selector,
    private val wakeUp: () -> Unit,
) : Closeable {
    private val readiness = SocketReadiness(channel, selector, wakeUp)

    /** Waits for the next connection. Throws an IOException if the system can't accept it or after [close]. */
    suspend fun accept(): TcpConnection {
        while (true) {
            readiness.await(SelectionKey.OP_ACCEPT)
            val accepted = channel.accept() ?: continue
            try {
                accepted.configureBlocking(false)
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
                return TcpConnection(accepted, SocketReadiness(accepted, selector, wakeUp))
            } catch (e: IOException) {
                accepted.close()
                throw e
            }
        }
    }

    override fun close() = readiness.close()
}

/** Reads from the socket when its reader has used up what was read before. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketInput(
    private val channel: SocketChannel,
    private val readiness: SocketReadiness,
) : ByteReadChannel {
    private val buffer = Buffer()
    private var ended = false
    override var closedCause: Throwable? = null
        private set
    override val readBuffer: Buffer get() = buffer

    /** Whether the peer has closed the connection and all that it sent has been read. Looks at the socket if nothing else is known. */
    override val isClosedForRead: Boolean
        get() {
            if (!ended && buffer.exhausted()) {
                try {
                    readAvailable()
                } catch (e: IOException) {
                    cancel(e)
                }
            }
            return ended && (closedCause != null || buffer.exhausted())
        }

    override suspend fun awaitContent(min: Int): Boolean {
        closedCause?.let { throw it }
        while (buffer.size < min && !ended) {
            readiness.await(SelectionKey.OP_READ)
            readAvailable()
        }
        return buffer.size >= min
    }

    override fun cancel(cause: Throwable?) {
        ended = true
        closedCause = cause ?: IOException("reading was cancelled")
    }

    private fun readAvailable() {
        UnsafeBufferOperations.writeToTail(buffer, MIN_READ_BYTES) { bytes, start, end ->
            val count = channel.read(ByteBuffer.wrap(bytes, start, end - start))
            if (count < 0) ended = true
            maxOf(0, count)
        }
    }

    private companion object {
        /** Most messages fit, so that one read gets them. */
        const val MIN_READ_BYTES = 4_096
    }
}

/** Collects what is written until it is flushed. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketOutput(
    private val channel: SocketChannel,
    private val readiness: SocketReadiness,
) : ByteWriteChannel {
    private val buffer = Buffer()
    override var closedCause: Throwable? = null
        private set
    override val isClosedForWrite: Boolean get() = closedCause != null || !channel.isOpen
    override val writeBuffer: Buffer get() = buffer

    override suspend fun flush() {
        closedCause?.let { throw it }
        while (!buffer.exhausted()) {
            if (writeSome() == 0) readiness.await(SelectionKey.OP_WRITE)
        }
    }

    override suspend fun flushAndClose() {
        flush()
        cancel(null)
    }

    override fun cancel(cause: Throwable?) {
        closedCause = cause ?: IOException("writing was cancelled")
    }

    private fun writeSome(): Int =
        UnsafeBufferOperations.readFromHead(buffer) { bytes, start, end ->
            channel.write(ByteBuffer.wrap(bytes, start, end - start))
        }
}
