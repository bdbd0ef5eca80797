package rhubarbknot.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import rhubarbknot.host.HostId
import rhubarbknot.host.HostInfo
import rhubarbknot.host.PeerFrame
import rhubarbknot.host.Topology
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/**
 * Manages the connections between entry hosts.
 *
 * Each host dials every other host and sends its frames on the connection that it dialed. Pings are answered on the
 * same connection, so a failure in either direction is detected, and the connection is closed and dialed again. Frames
 * in flight at that time are lost; the protocol above retries by id.
 */
class PeerTransport(
    private val self: HostInfo,
    private val topology: Topology,
    private val cluster: String,
    private val secret: LinkSecret,
    private val listener: PeerListener,
    dispatcher: CoroutineDispatcher,
    private val settings: LinkSettings = LinkSettings(),
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)
    private val outgoingQueues = ConcurrentHashMap<HostId, Channel<LinkFrame>>()
    private var server: ServerSocket? = null

    /** Total bytes of frames written to dialed connections, excluding length prefixes and handshakes. */
    val sentBytes = AtomicLong()

    /** Binds the peer address and starts to accept and dial connections. */
    suspend fun start() {
        val (host, port) = Addresses.split(self.peerAddress)
        val serverSocket = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
        server = serverSocket
        scope.launch { acceptLoop(serverSocket) }
        topology.hosts.filter { it.id != self.id }.forEach { peer ->
            outgoingQueues[peer.id] = Channel(settings.queueFrames, BufferOverflow.DROP_OLDEST)
            scope.launch { dialLoop(peer) }
        }
    }

    /** Queues [frame] for [to]. If the queue is full, the oldest frame is dropped, because peers retry. */
    fun send(
        to: HostId,
        frame: PeerFrame,
    ) {
        if (settings.filter.passes(to)) outgoingQueues[to]?.trySend(LinkFrame.Peer(frame))
    }

    private suspend fun dialLoop(peer: HostInfo) {
        var connectionCount = 0
        while (scope.isActive) {
            try {
                val (host, port) = Addresses.split(peer.peerAddress)
                val socket = withTimeout(settings.silenceMillis) { aSocket(selector).tcp().connect(host, port) { noDelay = true } }
                socket.use { runOutgoing(it, peer, ++connectionCount) }
            } catch (e: CancellationException) {
                if (!scope.isActive) throw e
            } catch (e: IOException) {
                log.debug { "connection to ${peer.id} failed: ${e.message}" }
            } catch (e: RuntimeException) {
                log.debug { "connection to ${peer.id} failed: ${e.message}" }
            }
            delay(settings.redialMillis)
        }
    }

    private suspend fun runOutgoing(
        socket: Socket,
        peer: HostInfo,
        connectionCount: Int,
    ) = coroutineScope {
        val input = socket.openReadChannel()
        val out = socket.openWriteChannel(autoFlush = false)
        withTimeout(settings.silenceMillis) { authenticateAsDialer(input, out, peer) }
        listener.connected(peer.id, connectionCount)
        val queue = outgoingQueues.getValue(peer.id)
        val pings = launch { pingLoop(queue) }
        val writer = launch { writeLoop(queue, out) }
        try {
            // The peer sends only pongs on this connection. If none arrives in time, at least one direction has failed.
            while (true) withTimeout(settings.silenceMillis) { FrameCodec.read(input, LinkFrames.serializer) }
        } finally {
            pings.cancel()
            writer.cancel()
        }
    }

    private suspend fun pingLoop(queue: Channel<LinkFrame>) {
        while (true) {
            delay(settings.pingMillis)
            queue.trySend(LinkFrame.Ping)
        }
    }

    private suspend fun writeLoop(
        queue: Channel<LinkFrame>,
        out: ByteWriteChannel,
    ) {
        while (true) {
            var frame: LinkFrame? = queue.receive()
            while (frame != null) {
                sentBytes.addAndGet(FrameCodec.write(out, LinkFrames.serializer, frame).toLong())
                frame = queue.tryReceive().getOrNull()
            }
            out.flush()
        }
    }

    private suspend fun authenticateAsDialer(
        input: ByteReadChannel,
        out: ByteWriteChannel,
        peer: HostInfo,
    ) {
        val nonce = LinkSecret.nonce()
        FrameCodec.write(out, LinkFrames.serializer, LinkFrame.Hello(cluster, self.id, peer.id, nonce))
        out.flush()
        val challenge =
            FrameCodec.read(input, LinkFrames.serializer) as? LinkFrame.Challenge ?: throw IOException("expected a challenge frame")
        val expected = secret.prove("acceptor", cluster, peer.id.name, nonce)
        if (!secret.matches(expected, challenge.proof)) throw IOException("${peer.id} sent an invalid proof of the cluster secret")
        FrameCodec.write(out, LinkFrames.serializer, LinkFrame.Proof(secret.prove("dialer", cluster, self.id.name, challenge.nonce)))
        out.flush()
    }

    private suspend fun acceptLoop(serverSocket: ServerSocket) {
        while (scope.isActive) {
            val socket = acceptNext(serverSocket) ?: return
            scope.launch {
                try {
                    socket.use { runIncoming(it) }
                } catch (e: IOException) {
                    log.debug { "incoming connection failed: ${e.message}" }
                } catch (e: RuntimeException) {
                    log.debug { "incoming connection failed: ${e.message}" }
                }
            }
        }
    }

    private suspend fun acceptNext(serverSocket: ServerSocket): Socket? =
        try {
            serverSocket.accept()
        } catch (e: IOException) {
            if (scope.isActive) log.warn { "${self.id} stopped accepting peer connections: ${e.message}" }
            null
        }

    private suspend fun runIncoming(socket: Socket) {
        val input = socket.openReadChannel()
        val out = socket.openWriteChannel(autoFlush = false)
        val from = withTimeout(settings.silenceMillis) { authenticateDialer(input, out, remoteHostOf(socket)) } ?: return
        while (true) {
            when (val frame = withTimeout(settings.silenceMillis) { FrameCodec.read(input, LinkFrames.serializer) }) {
                is LinkFrame.Peer -> listener.received(from, frame.frame)
                LinkFrame.Ping -> {
                    FrameCodec.write(out, LinkFrames.serializer, LinkFrame.Pong)
                    out.flush()
                }
                else -> throw IOException("unexpected frame type after the handshake")
            }
        }
    }

    // Omits the port, which differs on each connection attempt.
    private fun remoteHostOf(socket: Socket): String = socket.remoteAddress.toString().substringBeforeLast(':')

    private suspend fun authenticateDialer(
        input: ByteReadChannel,
        out: ByteWriteChannel,
        remoteHost: String,
    ): HostId? {
        val hello = FrameCodec.read(input, LinkFrames.serializer) as? LinkFrame.Hello
        if (hello == null || hello.cluster != cluster || hello.to != self.id || topology.host(hello.from) == null) {
            listener.refused("${hello?.from} at $remoteHost", "wrong cluster, host or first frame")
            return null
        }
        val nonce = LinkSecret.nonce()
        val proof = secret.prove("acceptor", cluster, self.id.name, hello.nonce)
        FrameCodec.write(out, LinkFrames.serializer, LinkFrame.Challenge(nonce, proof))
        out.flush()
        val reply = FrameCodec.read(input, LinkFrames.serializer) as? LinkFrame.Proof
        val expected = secret.prove("dialer", cluster, hello.from.name, nonce)
        if (reply == null || !secret.matches(expected, reply.proof)) {
            listener.refused("${hello.from} at $remoteHost", "wrong secret")
            return null
        }
        return hello.from
    }

    override fun close() {
        scope.cancel()
        server?.close()
        selector.close()
    }
}
