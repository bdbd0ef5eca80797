package rhubarbknot.quorum.disk

import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.ReplicaEffect

/** Where a replica's state outlives its process. */
interface Storage : AutoCloseable {
    /** What was stored before. To be called once, before the first [write]. */
    fun recover(): DurableState

    /**
     * Stores [batches] in order and returns once all of them are synced.
     *
     * @throws java.io.IOException when anything could not be written or synced; nothing may be promised then.
     */
    fun write(batches: List<ReplicaEffect.Persist>)
}

/** For a host without a disk, which may learn and relay but never vote: keeps nothing. */
class NoOpStorage : Storage {
    override fun recover() = DurableState()

    override fun write(batches: List<ReplicaEffect.Persist>) = Unit

    override fun close() = Unit
}

/** A stored file that can't be trusted. Nothing was skipped or repaired. */
class CorruptFileException(
    file: String,
    offset: Long,
    what: String,
) : java.io.IOException("$file, offset $offset: $what")
