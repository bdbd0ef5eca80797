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

@DisplayName("PeerLinks")
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
        private val expectedFrames: Int,
    ) : LinkListener {
        val connected = CompletableDeferred<Unit>()
        val allReceived = CompletableDeferred<Unit>()
        private val frames = AtomicInteger()

        override fun onLinkUp(peer: NodeIdentity) {
            connected.complete(Unit)
        }

        override fun onLinkDown(address: String) = Unit

        override fun onNetworkFailure(reason: String) = error(reason)

        override fun onFrame(
            from: NodeIdentity,
            frame: NodeFrame,
        ) {
            if (frames.incrementAndGet() == expectedFrames) allReceived.complete(Unit)
        }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun links(
        address: String,
        listener: Listener,
    ) = PeerLinks(NodeIdentity(address, "z1"), scope, selector, listener)

    /** Without acknowledgements on the receiving link, the sender would wait for a heartbeat after each window. */
    @Test
    fun `send a burst at full speed to a peer that answers on another connection or not at all`() {
        val receiver = Listener(FRAME_COUNT)
        val sender = Listener(0)
        val to = "127.0.0.1:${freePort()}"
        val from = links("127.0.0.1:${freePort()}", sender)
        runBlocking {
            links(to, receiver).listen()
            withContext(scope.coroutineContext) { from.connect(setOf(to)) }
            withTimeout(TIMEOUT_MILLIS) { sender.connected.await() }
            withContext(scope.coroutineContext) {
                repeat(FRAME_COUNT) { from.send(to, NodeFrame.AskEligibility(it.toLong(), "step", List(WORKERS) { i -> "worker-$i" }, 1)) }
            }
            withTimeout(TIMEOUT_MILLIS) { receiver.allReceived.await() }
        }
    }

    private companion object {
        /** About 700 KB in total: 15 s if each heartbeat opens only one window, far below 1 s at full speed. */
        const val FRAME_COUNT = 700
        const val WORKERS = 100
        const val TIMEOUT_MILLIS = 5_000L
    }
}
