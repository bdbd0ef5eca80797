package rhubarbknot.flow.world

import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.Snapshot

/** A disk under virtual time: what is written outlives its process, what is synced outlives a loss of power. */
internal class SimulatedDisk {
    private val synced = ArrayList<ReplicaEffect.Persist>()
    private val written = ArrayDeque<ReplicaEffect.Persist>()

    fun write(batch: ReplicaEffect.Persist) = written.addLast(batch)

    /** Syncs up to [sequence]. */
    fun sync(sequence: Long) {
        while (written.isNotEmpty() && written.first().sequence <= sequence) synced += written.removeFirst()
    }

    /** The process is killed: the system keeps what it had written. */
    fun processEnded() {
        synced += written
        written.clear()
    }

    /** Power is lost: of what was not synced, the first [kept] batches happen to be there all the same. */
    fun powerLost(kept: Int) {
        repeat(minOf(kept, written.size)) { synced += written.removeFirst() }
        written.clear()
    }

    fun recover(): DurableState {
        var hard = HardState()
        var snapshot: Snapshot? = null
        val entries = ArrayList<LogEntry>()
        synced.forEach { batch ->
            batch.hardState?.let { hard = it }
            batch.truncateAfter?.let { after -> entries.removeIf { it.index > after } }
            batch.snapshot?.let { saved ->
                snapshot = saved
                entries.removeIf { it.index <= saved.index }
            }
            batch.entries.forEach { if (it.index > (snapshot?.index ?: 0)) entries.add(it) }
        }
        return DurableState(hard, snapshot, entries)
    }
}
