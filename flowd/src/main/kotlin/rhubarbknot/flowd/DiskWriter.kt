package rhubarbknot.flowd

import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeLogEvent
import rhubarbknot.quorum.disk.Storage
import java.io.IOException

/**
 * Stores what a replica wants stored, all that waits with one sync. While the disk refuses, the same batch is tried
 * again and nothing is promised: the group goes on without this replica's word, and has it again when the disk does.
 *
 * @param storage null for a process without a disk, which has nothing to store.
 * @param took told how many nanoseconds each successful write and sync took.
 * @param note told when the disk is lost and when it is back.
 */
internal class DiskWriter(
    private val storage: Storage?,
    private val took: (Long) -> Unit = {},
    private val note: (NodeLogEvent, String) -> Unit,
) {
    /** Writes what [batches] brings, and tells [synced] the sequence up to which all is synced. Never returns. */
    suspend fun run(
        batches: ReceiveChannel<NodeEffect.Persist>,
        synced: (Long) -> Unit,
    ) {
        val waiting = ArrayList<NodeEffect.Persist>()
        while (true) {
            waiting.add(batches.receive())
            while (waiting.size < MOST_TOGETHER) waiting.add(batches.tryReceive().getOrNull() ?: break)
            write(waiting)
            synced(waiting.last().batch.sequence)
            waiting.clear()
        }
    }

    private suspend fun write(waiting: List<NodeEffect.Persist>) {
        val records = waiting.map { it.batch }
        var failures = 0
        while (true) {
            try {
                val startedAt = System.nanoTime()
                storage?.write(records)
                took(System.nanoTime() - startedAt)
                if (failures > 0) note(NodeLogEvent.DISK_REGAINED, "tries=${failures + 1}")
                return
            } catch (e: IOException) {
                if (failures++ == 0) note(NodeLogEvent.DISK_FAILED, e.message ?: e.javaClass.simpleName)
                delay(RETRY_MILLIS)
            }
        }
    }

    private companion object {
        const val MOST_TOGETHER = 1_024
        const val RETRY_MILLIS = 200L
    }
}
