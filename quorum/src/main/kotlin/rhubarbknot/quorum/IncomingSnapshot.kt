package rhubarbknot.quorum

/** A snapshot being received in chunks. */
internal class IncomingSnapshot(
    val index: Long,
    val term: Long,
    val totalBytes: Int,
) {
    val bytes = ByteArray(totalBytes)

    /** Number of contiguous bytes received from the start. */
    var receivedBytes = 0
        private set

    /** Whether [chunk] is a part of this snapshot. */
    fun isFor(chunk: SnapshotChunk): Boolean = chunk.index == index && chunk.snapshotTerm == term && chunk.totalBytes == totalBytes

    fun accept(chunk: SnapshotChunk) {
        if (chunk.offset != receivedBytes) return
        chunk.bytes.copyInto(bytes, chunk.offset)
        receivedBytes += chunk.bytes.size
    }
}
