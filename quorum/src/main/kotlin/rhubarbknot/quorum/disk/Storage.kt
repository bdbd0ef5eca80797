package rhubarbknot.quorum.disk

import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.ReplicaEffect

/** Persistent storage for the state of one replica. */
interface Storage : AutoCloseable {
    /** Reads the stored state. Must be called exactly once, before the first [write]. */
    fun recover(): DurableState

    /**
     * Writes [batches] in order and returns once all of them are synced.
     *
     * @throws java.io.IOException if any part could not be written or synced; none of [batches] may then be acknowledged.
     */
    fun write(batches: List<ReplicaEffect.Persist>)
}

/** Stores nothing. For a host without a disk, whose replica may be a learner or relay but must never vote. */
class NoOpStorage : Storage {
    override fun recover() = DurableState()

    override fun write(batches: List<ReplicaEffect.Persist>) = Unit

    override fun close() = Unit
}

/** Thrown when a stored file is corrupt. No data was skipped or repaired. */
class CorruptFileException(
    file: String,
    offset: Long,
    problem: String,
) : java.io.IOException("$file, offset $offset: $problem")
