package rhubarbknot.flowd

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
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

/** What an embedder hears of its links. */
interface LinkListener {
    fun up(peer: NodeIdentity)

    fun down(address: String)

    /** Nothing can be reached any more, for [why]; only a new process can help. */
    fun broken(why: String)

    fun received(
        from: NodeIdentity,
        frame: NodeFrame,
    )
}

/**
 * Connections between the processes of the system. Either side may dial; both sides send on every link, and greet
 * again and again, so that a link that went silent is noticed, closed and dialled anew. Frames under way are lost
 * then: the protocol above asks again.
 *
 * All of it runs on the one thread of [scope].
 */
class PeerLinks(
    private val self: NodeIdentity,
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val listener: LinkListener,
    private val log: (String) -> Unit = {},
) {
    private val links = HashMap<String, ArrayDeque<Link>>()
    private val dials = HashMap<String, Job>()
    private var unexpectedInARow = 0

    suspend fun listen() {
        val (host, port) = Addresses.split(self.address)
        val bound = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
        scope.launch {
            while (isActive) {
                val socket =
                    try {
                        bound.accept()
                    } catch (_: IOException) {
                        delay(REDIAL_MILLIS)
                        continue
                    } catch (e: RuntimeException) {
                        // The library cancels, too: only this coroutine's own end ends the accepting.
                        currentCoroutineContext().ensureActive()
                        unexpected("accept: $e")
                        delay(REDIAL_MILLIS)
                        continue
                    }
                scope.launch { guarded(socket) }
            }
        }
    }

    /** Dials [addresses], and stops dialling all others. */
    fun connect(addresses: Set<String>) {
        dials.keys.filter { it !in addresses }.forEach { dials.remove(it)?.cancel() }
        addresses.filter { it != self.address && it !in dials }.forEach { dials[it] = scope.launch { dialLoop(it) } }
    }

    /** Queues [frame] for the process at [to]; dropped when there is no link. */
    fun send(
        to: String,
        frame: NodeFrame,
    ) {
        links[to]?.lastOrNull()?.queue?.trySend(frame)
    }

    private suspend fun dialLoop(address: String) {
        val (host, port) = Addresses.split(address)
        while (scope.isActive) {
            // One link is enough: the side that was dialled first uses it, too.
            if (links[address].isNullOrEmpty()) {
                try {
                    val socket = withTimeout(DIAL_MILLIS) { aSocket(selector).tcp().connect(host, port) { noDelay = true } }
                    guarded(socket)
                } catch (e: CancellationException) {
                    // The library cancels, too: only this coroutine's own end ends the dialling.
                    currentCoroutineContext().ensureActive()
                    if (e !is TimeoutCancellationException) unexpected("dial $address: $e")
                } catch (_: IOException) {
                    // Dialled again below.
                } catch (e: RuntimeException) {
                    unexpected("dial $address: $e")
                }
            }
            delay(REDIAL_MILLIS)
        }
    }

    /** Tells of what no lost peer explains; when nothing else happens any more, the process can't reach anybody. */
    private fun unexpected(what: String) {
        log(what)
        if (++unexpectedInARow >= UNEXPECTED_TO_GIVE_UP) listener.broken(what)
    }

    private suspend fun guarded(socket: Socket) {
        try {
            socket.use { serve(it) }
        } catch (_: TimeoutCancellationException) {
            // The listener is told by serve.
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
        } catch (_: IOException) {
            // The listener is told by serve.
        } catch (_: RuntimeException) {
            // A frame that can't be read: the link is closed, and the listener told by serve.
        }
    }

    private suspend fun serve(socket: Socket) =
        coroutineScope {
            val input = socket.openReadChannel()
            val out = socket.openWriteChannel(autoFlush = false)
            val link = Link()
            link.queue.trySend(NodeFrame.Hello(self))
            val writer = launch { writeLoop(link, out) }
            val greeter =
                launch {
                    while (true) {
                        delay(GREETING_MILLIS)
                        link.queue.trySend(NodeFrame.Hello(self))
                    }
                }
            var peer: NodeIdentity? = null
            try {
                val hello =
                    withTimeout(SILENCE_MILLIS) { FrameCodec.read(input, FRAMES) } as? NodeFrame.Hello ?: throw IOException("no greeting")
                peer = hello.from
                links.getOrPut(peer.address) { ArrayDeque() }.addLast(link)
                unexpectedInARow = 0
                listener.up(peer)
                while (true) {
                    val frame = withTimeout(SILENCE_MILLIS) { FrameCodec.read(input, FRAMES, link::received) }
                    if (link.owesSignOfLife()) link.queue.trySend(NodeFrame.Hello(self))
                    if (frame !is NodeFrame.Hello) listener.received(peer, frame)
                }
            } finally {
                writer.cancel()
                greeter.cancel()
                peer?.let { drop(it, link) }
            }
        }

    private fun drop(
        peer: NodeIdentity,
        link: Link,
    ) {
        val left = links[peer.address] ?: return
        left.remove(link)
        if (left.isNotEmpty()) return
        links.remove(peer.address)
        listener.down(peer.address)
    }

    private suspend fun writeLoop(
        link: Link,
        out: ByteWriteChannel,
    ) {
        while (true) {
            var next: NodeFrame? = link.queue.receive()
            while (next != null) {
                link.awaitWindow { out.flush() }
                link.written(FrameCodec.write(out, FRAMES, next))
                next = link.queue.tryReceive().getOrNull()
            }
            out.flush()
        }
    }

    /**
     * One connection, with a window of bytes that may be under way since the peer was last heard on it. Without it a
     * peer that stands still fills the socket, and the library then retries the write in a tight loop until it goes on.
     *
     * Two peers can have two connections and answer each other on the other one, so the reader gives a sign of life
     * on this one whenever half a window has come in and nothing went out.
     */
    private class Link {
        val queue = Channel<NodeFrame>(QUEUE_FRAMES, BufferOverflow.DROP_OLDEST)
        private val opened = Channel<Unit>(Channel.CONFLATED)
        private var unheardBytes = 0
        private var unansweredBytes = 0

        fun received(bytes: Int) {
            unansweredBytes += bytes
            unheardBytes = 0
            opened.trySend(Unit)
        }

        /** Whether so much came in since the last frame went out that the peer may be waiting; true once for it. */
        fun owesSignOfLife(): Boolean {
            if (unansweredBytes < WINDOW_BYTES / 2) return false
            unansweredBytes = 0
            return true
        }

        fun written(bytes: Int) {
            unheardBytes += bytes
            unansweredBytes = 0
        }

        suspend fun awaitWindow(flush: suspend () -> Unit) {
            if (unheardBytes < WINDOW_BYTES) return
            flush()
            while (unheardBytes >= WINDOW_BYTES) opened.receive()
        }
    }

    private companion object {
        val FRAMES = NodeFrame.serializer()
        const val SILENCE_MILLIS = 1_500L

        /** Well above a way there and back, and below the second after which a lost opening packet is sent again. */
        const val DIAL_MILLIS = 400L
        const val GREETING_MILLIS = 500L
        const val REDIAL_MILLIS = 150L
        const val QUEUE_FRAMES = 4_096
        const val UNEXPECTED_TO_GIVE_UP = 20

        /** Well below what a socket takes without its peer reading; a peer greets twice a second at least. */
        const val WINDOW_BYTES = 24 * 1024
    }
}
