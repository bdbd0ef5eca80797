package rhubarbknot.flowd

import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeLogEvent
import rhubarbknot.quorum.disk.Storage
import java.io.IOException

/**
 * Persists a replica's batches and groups all queued ones into a single sync. If a write fails, it retries the same
 * batches and acknowledges nothing: the group continues without this replica's votes and acknowledgements until the
 * disk recovers.
 *
 * @param storage null for a process without a disk, which has nothing to persist.
 * @param onWritten receives the duration in nanoseconds of each successful write and sync.
 * @param onDiskEvent receives an event with its detail when the disk fails and when it recovers.
 */
internal class DiskWriter(
    private val storage: Storage?,
    private val onWritten: (Long) -> Unit = {},
    private val onDiskEvent: (NodeLogEvent, String) -> Unit,
) {
    /** Persists [batches] and passes [onSynced] the sequence number up to which all are synced. Never returns. */
    suspend fun run(
        batches: ReceiveChannel<NodeEffect.Persist>,
        onSynced: (Long) -> Unit,
    ) {
        val queued = ArrayList<NodeEffect.Persist>()
        while (true) {
            queued.add(batches.receive())
            while (queued.size < MAX_BATCHES_PER_SYNC) queued.add(batches.tryReceive().getOrNull() ?: break)
            write(queued)
            onSynced(queued.last().batch.sequence)
            queued.clear()
        }
    }

    private suspend fun write(queued: List<NodeEffect.Persist>) {
        val records = queued.map { it.batch }
        var failures = 0
        while (true) {
            try {
                val startedAt = System.nanoTime()
                storage?.write(records)
                onWritten(System.nanoTime() - startedAt)
                if (failures > 0) onDiskEvent(NodeLogEvent.DISK_REGAINED, "tries=${failures + 1}")
                return
            } catch (e: IOException) {
                if (failures++ == 0) onDiskEvent(NodeLogEvent.DISK_FAILED, e.message ?: e.javaClass.simpleName)
                delay(RETRY_MILLIS)
            }
        }
    }

    private companion object {
        const val MAX_BATCHES_PER_SYNC = 1_024
        const val RETRY_MILLIS = 200L
    }
}
