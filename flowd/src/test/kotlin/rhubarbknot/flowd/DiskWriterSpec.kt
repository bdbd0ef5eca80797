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

@DisplayName("a disk that refuses for a while")
class DiskWriterSpec {
    private class Refusing(
        private var refusals: Int,
    ) : Storage {
        val written = ArrayList<Long>()

        override fun recover() = DurableState()

        override fun write(batches: List<ReplicaEffect.Persist>) {
            if (refusals-- > 0) throw IOException("no space left")
            written += batches.map { it.sequence }
        }

        override fun close() = Unit
    }

    @Test
    fun `is tried again with the same batch, and nothing is promised before it takes it`() {
        val storage = Refusing(2)
        val notes = ArrayList<NodeLogEvent>()
        val batches = Channel<NodeEffect.Persist>(Channel.UNLIMITED)
        val synced = Channel<Long>(Channel.UNLIMITED)
        runBlocking {
            val writer =
                launch { DiskWriter(storage) { event, _ -> notes += event }.run(batches) { synced.trySend(it) } }
            batches.send(NodeEffect.Persist(ReplicaEffect.Persist(1)))
            expectThat(withTimeout(BOUND_MILLIS) { synced.receive() }).isEqualTo(1)
            expectThat(storage.written.toList()).isEqualTo(listOf(1L))
            expectThat(notes.toList()).isEqualTo(listOf(NodeLogEvent.DISK_FAILED, NodeLogEvent.DISK_REGAINED))
            writer.cancel()
        }
    }

    private companion object {
        const val BOUND_MILLIS = 5_000L
    }
}
