package rhubarbknot.flowd

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.node.NodeFrame
import rhubarbknot.flow.node.NodeIdentity
import java.net.ServerSocket
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

@DisplayName("connections between the system's processes")
class PeerLinksSpec {
    private val thread = Executors.newSingleThreadExecutor()
    private val scope = CoroutineScope(SupervisorJob() + thread.asCoroutineDispatcher())
    private val selector = SelectorManager(Dispatchers.IO)

    @AfterEach
    fun close() {
        scope.cancel()
        selector.close()
        thread.shutdown()
    }

    private class Listener(
        private val wanted: Int,
    ) : LinkListener {
        val up = CompletableDeferred<Unit>()
        val all = CompletableDeferred<Unit>()
        private val frames = AtomicInteger()

        override fun up(peer: NodeIdentity) {
            up.complete(Unit)
        }

        override fun down(address: String) = Unit

        override fun broken(why: String) = error(why)

        override fun received(
            from: NodeIdentity,
            frame: NodeFrame,
        ) {
            if (frames.incrementAndGet() == wanted) all.complete(Unit)
        }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun links(
        address: String,
        listener: Listener,
    ) = PeerLinks(NodeIdentity(address, "z1"), scope, selector, listener)

    @Test
    fun `carry a burst at full speed to a peer that answers on another connection, or not at all`() {
        val reader = Listener(FRAMES)
        val writer = Listener(0)
        val to = "127.0.0.1:${freePort()}"
        val from = links("127.0.0.1:${freePort()}", writer)
        runBlocking {
            links(to, reader).listen()
            withContext(scope.coroutineContext) { from.connect(setOf(to)) }
            withTimeout(BOUND_MILLIS) { writer.up.await() }
            withContext(scope.coroutineContext) {
                repeat(FRAMES) { from.send(to, NodeFrame.AskEligibility(it.toLong(), "step", List(WORKERS) { i -> "worker-$i" }, 1)) }
            }
            withTimeout(BOUND_MILLIS) { reader.all.await() }
        }
    }

    private companion object {
        /** About 700 KB in all: 15 s at one window for each greeting, far below a second at full speed. */
        const val FRAMES = 700
        const val WORKERS = 100
        const val BOUND_MILLIS = 5_000L
    }
}
