package rhubarbknot.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.websocket.CloseReason
import io.ktor.websocket.Frame
import io.ktor.websocket.WebSocketSession
import io.ktor.websocket.close
import io.ktor.websocket.readText
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import rhubarbknot.host.ConnectionId
import rhubarbknot.host.HostEffect
import rhubarbknot.host.HostEvent
import rhubarbknot.host.ToExecutor
import rhubarbknot.wire.ExecutorCodec
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** WebSocket connections of workers and endpoints. A connection that goes silent is closed; the executor dials anew. */
class ExecutorSockets(
    private val feed: (HostEvent) -> Unit,
) {
    private val next = AtomicLong()
    private val outgoing = ConcurrentHashMap<ConnectionId, Channel<ToExecutor>>()

    suspend fun serve(session: WebSocketSession) {
        val id = ConnectionId(next.incrementAndGet())
        val queue = Channel<ToExecutor>(QUEUE_FRAMES)
        outgoing[id] = queue
        try {
            coroutineScope {
                val writer = launch { write(session, queue) }
                read(session, id)
                queue.close()
                withTimeoutOrNull(CLOSE_MILLIS) { writer.join() }
                writer.cancel()
            }
        } finally {
            outgoing.remove(id)
            feed(HostEvent.ExecutorDisconnected(id))
        }
    }

    private suspend fun read(
        session: WebSocketSession,
        id: ConnectionId,
    ) {
        while (true) {
            val frame = withTimeoutOrNull(SILENCE_MILLIS) { receive(session) } ?: return
            if (frame !is Frame.Text) continue
            try {
                feed(HostEvent.ExecutorFrameReceived(id, ExecutorCodec.decodeFromExecutor(frame.readText())))
            } catch (e: SerializationException) {
                log.warn { "executor on connection ${id.number} sent what is no frame: ${e.message?.lineSequence()?.first()}" }
                session.close(CloseReason(CloseReason.Codes.CANNOT_ACCEPT, "not a frame of the executor protocol"))
                return
            }
        }
    }

    private suspend fun receive(session: WebSocketSession): Frame? =
        try {
            session.incoming.receive()
        } catch (_: ClosedReceiveChannelException) {
            null
        }

    private suspend fun write(
        session: WebSocketSession,
        queue: Channel<ToExecutor>,
    ) {
        for (frame in queue) session.send(Frame.Text(ExecutorCodec.encode(frame)))
        session.close(CloseReason(CloseReason.Codes.NORMAL, ""))
    }

    fun send(effect: HostEffect.SendExecutor) {
        val queue = outgoing[effect.connection] ?: return
        // A full queue means a dead connection; whatever is lost is looked up when the executor announces itself again.
        if (queue.trySend(effect.frame).isFailure) queue.close()
    }

    fun close(effect: HostEffect.CloseExecutor) {
        outgoing[effect.connection]?.close()
    }

    private companion object {
        const val QUEUE_FRAMES = 65_536
        const val SILENCE_MILLIS = 5_000L
        const val CLOSE_MILLIS = 500L
    }
}
