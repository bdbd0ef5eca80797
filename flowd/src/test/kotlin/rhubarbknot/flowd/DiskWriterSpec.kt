package rhubarbknot.flowd

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeLogEvent
import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.disk.Storage
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

@DisplayName("DiskWriter with a temporarily failing disk")
class DiskWriterSpec {
    private class FailingStorage(
        private var remainingFailures: Int,
    ) : Storage {
        val written = ArrayList<Long>()

        override fun recover() = DurableState()

        override fun write(batches: List<ReplicaEffect.Persist>) {
            if (remainingFailures-- > 0) throw IOException("no space left")
            written += batches.map { it.sequence }
        }

        override fun close() = Unit
    }

    @Test
    fun `retries the same batch and acknowledges nothing before the write succeeds`() {
        val storage = FailingStorage(2)
        val diskEvents = ArrayList<NodeLogEvent>()
        val batches = Channel<NodeEffect.Persist>(Channel.UNLIMITED)
        val synced = Channel<Long>(Channel.UNLIMITED)
        runBlocking {
            val writer =
                launch { DiskWriter(storage) { event, _ -> diskEvents += event }.run(batches) { synced.trySend(it) } }
            batches.send(NodeEffect.Persist(ReplicaEffect.Persist(1)))
            expectThat(withTimeout(TIMEOUT_MILLIS) { synced.receive() }).isEqualTo(1)
            expectThat(storage.written.toList()).isEqualTo(listOf(1L))
            expectThat(diskEvents.toList()).isEqualTo(listOf(NodeLogEvent.DISK_FAILED, NodeLogEvent.DISK_REGAINED))
            writer.cancel()
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000L
    }
}
