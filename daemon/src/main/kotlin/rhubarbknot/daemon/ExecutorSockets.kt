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

/**
 * WebSocket connections of workers and endpoints. A connection without incoming frames for the idle timeout is closed;
 * the executor then reconnects.
 */
class ExecutorSockets(
    private val enqueue: (HostEvent) -> Unit,
) {
    private val nextConnection = AtomicLong()
    private val outboundQueues = ConcurrentHashMap<ConnectionId, Channel<ToExecutor>>()

    suspend fun serve(session: WebSocketSession) {
        val id = ConnectionId(nextConnection.incrementAndGet())
        val queue = Channel<ToExecutor>(QUEUE_CAPACITY)
        outboundQueues[id] = queue
        try {
            coroutineScope {
                val writer = launch { write(session, queue) }
                read(session, id)
                queue.close()
                withTimeoutOrNull(CLOSE_TIMEOUT_MILLIS) { writer.join() }
                writer.cancel()
            }
        } finally {
            outboundQueues.remove(id)
            enqueue(HostEvent.ExecutorDisconnected(id))
        }
    }

    private suspend fun read(
        session: WebSocketSession,
        id: ConnectionId,
    ) {
        while (true) {
            val frame = withTimeoutOrNull(IDLE_TIMEOUT_MILLIS) { receive(session) } ?: return
            if (frame !is Frame.Text) continue
            try {
                enqueue(HostEvent.ExecutorFrameReceived(id, ExecutorCodec.decodeFromExecutor(frame.readText())))
            } catch (e: SerializationException) {
                log.warn { "executor on connection ${id.number} sent an invalid frame: ${e.message?.lineSequence()?.first()}" }
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
        val queue = outboundQueues[effect.connection] ?: return
        // A full queue indicates a dead connection. State lost with the queue is reconciled when the executor registers again.
        if (queue.trySend(effect.frame).isFailure) queue.close()
    }

    fun close(effect: HostEffect.CloseExecutor) {
        outboundQueues[effect.connection]?.close()
    }

    private companion object {
        const val QUEUE_CAPACITY = 65_536
        const val IDLE_TIMEOUT_MILLIS = 5_000L
        const val CLOSE_TIMEOUT_MILLIS = 500L
    }
}
