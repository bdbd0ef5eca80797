package rhubarbknot.flowd

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends coroutines until [channel] can be read or written. At most one coroutine waits for each of the two. */
internal class SocketReadiness(
    private val channel: SelectableChannel,
    selector: Selector,
    private val wakeUp: () -> Unit,
) {
    private val reader = AtomicReference<CancellableContinuation<Unit>?>()
    private val writer = AtomicReference<CancellableContinuation<Unit>?>()
    private val key = channel.register(selector, 0, this)

    /** Suspends until [operation] of a [SelectionKey] is possible. Throws a [ClosedChannelException] once the channel is closed. */
    suspend fun await(operation: Int) =
        suspendCancellableCoroutine { continuation ->
            val waiter = if (operation and READ_OPERATIONS != 0) reader else writer
            check(waiter.compareAndSet(null, continuation)) { "another coroutine waits for the same operation" }
            continuation.invokeOnCancellation { waiter.compareAndSet(continuation, null) }
            try {
                key.interestOpsOr(operation)
                wakeUp()
            } catch (_: CancelledKeyException) {
                fail(waiter)
            }
        }

    /** Resumes the coroutines that wait for what is possible now. */
    fun ready() {
        try {
            val operations = key.readyOps()
            key.interestOpsAnd(operations.inv())
            if (operations and READ_OPERATIONS != 0) reader.getAndSet(null)?.resume(Unit)
            if (operations and READ_OPERATIONS.inv() != 0) writer.getAndSet(null)?.resume(Unit)
        } catch (_: CancelledKeyException) {
            close()
        }
    }

    /** Closes the channel; coroutines that wait for it get a [ClosedChannelException]. */
    fun close() {
        channel.close()
        // The descriptor is freed when the selector runs next.
        wakeUp()
        fail(reader)
        fail(writer)
    }

    private fun fail(waiter: AtomicReference<CancellableContinuation<Unit>?>) {
        waiter.getAndSet(null)?.resumeWithException(ClosedChannelException())
    }

    private companion object {
        const val READ_OPERATIONS = SelectionKey.OP_READ or SelectionKey.OP_ACCEPT
    }
}
