package rhubarbknot.flowd

import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import rhubarbknot.flow.node.NodeFrame
import rhubarbknot.flow.node.NodeIdentity
import rhubarbknot.wire.Addresses
import rhubarbknot.wire.FrameCodec
import java.io.IOException

/** Callbacks for connection events of [PeerLinks]. */
interface LinkListener {
    fun onLinkUp(peer: NodeIdentity)

    fun onLinkDown(address: String)

    /** The network stack of this process is unusable for [reason]; only a process restart can recover it. */
    fun onNetworkFailure(reason: String)

    fun onFrame(
        from: NodeIdentity,
        frame: NodeFrame,
    )
}

/**
 * Connections between the processes of the system. Either side may dial, and both sides send on every link. Each side
 * sends periodic [NodeFrame.Hello] heartbeats, so that a silent link is detected, closed and dialled again. Frames in
 * flight are then lost; the protocol above retries them.
 *
 * Not thread-safe: everything runs on the single thread of [scope].
 */
class PeerLinks(
    private val self: NodeIdentity,
    private val scope: CoroutineScope,
    private val network: NetworkLoop,
    private val listener: LinkListener,
    private val log: (String) -> Unit = {},
) {
    private val links = HashMap<String, ArrayDeque<Link>>()
    private val dialJobs = HashMap<String, Job>()
    private val linkLost = HashMap<String, Channel<Unit>>()

    /** All links, also those whose peer has not sent its identity yet. */
    private val open = LinkedHashSet<Link>()
    private var heartbeats: Job? = null
    private var consecutiveUnexpectedErrors = 0

    suspend fun listen() {
        val (host, port) = Addresses.split(self.address)
        val serverSocket = network.listen(host, port)
        scope.launch {
            while (isActive) {
                val socket =
                    try {
                        serverSocket.accept()
                    } catch (_: IOException) {
                        delay(REDIAL_DELAY_MILLIS)
                        continue
                    } catch (e: RuntimeException) {
                        // Ktor also throws CancellationException; stop accepting only if this coroutine itself was cancelled.
                        currentCoroutineContext().ensureActive()
                        reportUnexpectedError("accept: $e")
                        delay(REDIAL_DELAY_MILLIS)
                        continue
                    }
                scope.launch { serveAndClose(socket) }
            }
        }
    }

    /** Keeps dialling [addresses] and stops dialling all others. */
    fun connect(addresses: Set<String>) {
        dialJobs.keys.filter { it !in addresses }.forEach { dialJobs.remove(it)?.cancel() }
        addresses.filter { it != self.address && it !in dialJobs }.forEach { dialJobs[it] = scope.launch { dialLoop(it) } }
    }

    /** Queues [frame] for the process at [to]; drops it if there is no link. */
    fun send(
        to: String,
        frame: NodeFrame,
    ) {
        links[to]?.lastOrNull()?.queue?.trySend(frame)
    }

    private suspend fun dialLoop(address: String) {
        val (host, port) = Addresses.split(address)
        val lost = linkLost.getOrPut(address) { Channel(Channel.CONFLATED) }
        while (scope.isActive) {
            // One link is enough, because the accepting side sends on it as well.
            if (!links[address].isNullOrEmpty()) {
                lost.receive()
            } else {
                try {
                    val socket = withTimeout(DIAL_TIMEOUT_MILLIS) { network.connect(host, port) }
                    serveAndClose(socket)
                } catch (e: CancellationException) {
                    // Ktor also throws CancellationException; stop dialling only if this coroutine itself was cancelled.
                    currentCoroutineContext().ensureActive()
                    if (e !is TimeoutCancellationException) reportUnexpectedError("dial $address: $e")
                } catch (_: IOException) {
                    // Retried after the delay below.
                } catch (e: RuntimeException) {
                    reportUnexpectedError("dial $address: $e")
                }
            }
            delay(REDIAL_DELAY_MILLIS)
        }
    }

    /**
     * Logs an error that a lost peer does not explain. After [MAX_UNEXPECTED_ERRORS] in a row without a successful link,
     * the network of this process counts as failed.
     */
    private fun reportUnexpectedError(error: String) {
        log(error)
        if (++consecutiveUnexpectedErrors >= MAX_UNEXPECTED_ERRORS) listener.onNetworkFailure(error)
    }

    private suspend fun serveAndClose(socket: TcpConnection) {
        try {
            socket.use { serve(it) }
        } catch (_: TimeoutCancellationException) {
            // serve has notified the listener.
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
        } catch (_: IOException) {
            // serve has notified the listener.
        } catch (_: RuntimeException) {
            // A frame could not be decoded; the link is closed and serve has notified the listener.
        }
    }

    private suspend fun serve(socket: TcpConnection) =
        coroutineScope {
            val link = Link()
            open.add(link)
            startHeartbeats()
            link.queue.trySend(NodeFrame.Hello(self))
            val writer = launch { writeLoop(link, socket.out) }
            var peer: NodeIdentity? = null
            try {
                val hello =
                    withTimeout(READ_TIMEOUT_MILLIS) { FrameCodec.read(socket.input, FRAME_SERIALIZER) } as? NodeFrame.Hello
                        ?: throw IOException("the first frame is not a Hello")
                peer = hello.from
                links.getOrPut(peer.address) { ArrayDeque() }.addLast(link)
                consecutiveUnexpectedErrors = 0
                listener.onLinkUp(peer)
                while (true) {
                    val frame = withTimeout(READ_TIMEOUT_MILLIS) { FrameCodec.read(socket.input, FRAME_SERIALIZER, link::onReceived) }
                    if (link.shouldAcknowledge()) link.queue.trySend(NodeFrame.Hello(self))
                    if (frame !is NodeFrame.Hello) listener.onFrame(peer, frame)
                }
            } finally {
                writer.cancel()
                open.remove(link)
                peer?.let { removeLink(it, link) }
            }
        }

    /** One timer for all links, so that the heartbeats of an idle process cost it one wake-up. */
    private fun startHeartbeats() {
        if (heartbeats != null) return
        heartbeats =
            scope.launch {
                while (true) {
                    delay(HEARTBEAT_MILLIS)
                    open.forEach { if (it.idleMillis() >= HEARTBEAT_MILLIS / 2) it.queue.trySend(NodeFrame.Hello(self)) }
                }
            }
    }

    private fun removeLink(
        peer: NodeIdentity,
        link: Link,
    ) {
        val remaining = links[peer.address] ?: return
        remaining.remove(link)
        if (remaining.isNotEmpty()) return
        links.remove(peer.address)
        linkLost[peer.address]?.trySend(Unit)
        listener.onLinkDown(peer.address)
    }

    private suspend fun writeLoop(
        link: Link,
        out: ByteWriteChannel,
    ) {
        while (true) {
            var next: NodeFrame? = link.queue.receive()
            while (next != null) {
                link.awaitWindow { out.flush() }
                link.onWritten(FrameCodec.write(out, FRAME_SERIALIZER, next))
                next = link.queue.tryReceive().getOrNull()
            }
            out.flush()
        }
    }

    /**
     * One connection with flow control: at most a window of bytes is sent after the last frame received on it. Without
     * the window, frames for a stalled peer would pile up in the socket, where the oldest can't be dropped.
     *
     * Two peers may have two connections, each answering on the other one. The reader therefore acknowledges with a
     * [NodeFrame.Hello] on this connection whenever it received half a window and sent nothing.
     */
    private class Link {
        val queue = Channel<NodeFrame>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST)
        private val windowReopened = Channel<Unit>(Channel.CONFLATED)
        private var unacknowledgedBytes = 0
        private var bytesReceivedSinceWrite = 0
        private var writtenAtNanos = System.nanoTime()

        /** Time since the last frame was written. */
        fun idleMillis(): Long = (System.nanoTime() - writtenAtNanos) / NANOS_PER_MILLI

        fun onReceived(bytes: Int) {
            bytesReceivedSinceWrite += bytes
            unacknowledgedBytes = 0
            windowReopened.trySend(Unit)
        }

        /** Whether the peer's window may be exhausted because nothing was sent for half a window; resets the count if true. */
        fun shouldAcknowledge(): Boolean {
            if (bytesReceivedSinceWrite < WINDOW_BYTES / 2) return false
            bytesReceivedSinceWrite = 0
            return true
        }

        fun onWritten(bytes: Int) {
            unacknowledgedBytes += bytes
            bytesReceivedSinceWrite = 0
            writtenAtNanos = System.nanoTime()
        }

        suspend fun awaitWindow(flush: suspend () -> Unit) {
            if (unacknowledgedBytes < WINDOW_BYTES) return
            flush()
            while (unacknowledgedBytes >= WINDOW_BYTES) windowReopened.receive()
        }
    }

    private companion object {
        val FRAME_SERIALIZER = NodeFrame.serializer()
        const val READ_TIMEOUT_MILLIS = 1_500L

        /** Well above a round trip, and below the 1 second after which TCP retransmits a lost SYN. */
        const val DIAL_TIMEOUT_MILLIS = 400L

        /** An idle link carries a frame at least each one and a half of these: two of them within the read timeout. */
        const val HEARTBEAT_MILLIS = 500L
        const val NANOS_PER_MILLI = 1_000_000L
        const val REDIAL_DELAY_MILLIS = 150L
        const val QUEUE_CAPACITY = 4_096
        const val MAX_UNEXPECTED_ERRORS = 20

        /** Well below the socket buffer size. A peer sends a heartbeat at least twice per second, which reopens the window. */
        const val WINDOW_BYTES = 24 * 1024
    }
}
