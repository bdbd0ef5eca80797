package rhubarbknot.quorum.disk

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.QuorumCodec
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C

/** A record in a log segment. */
@Serializable
internal sealed interface Record {
    @Serializable
    @SerialName("hard")
    data class HardStateUpdate(
        val state: HardState,
    ) : Record

    @Serializable
    @SerialName("truncate")
    data class Truncate(
        val after: Long,
    ) : Record

    @Serializable
    @SerialName("entry")
    class Entry(
        val entry: LogEntry,
    ) : Record
}

/** Records that are written and synced as one unit. */
@Serializable
internal class Batch(
    val records: List<Record>,
)

/**
 * A log segment file: a header with the format version, followed by batches, each consisting of its length, a CRC-32C
 * checksum and the CBOR-encoded records.
 *
 * A batch is written only after the previous one is synced. An invalid batch with no valid batch after it was therefore
 * never synced or acknowledged, wherever a power failure tore it, and is discarded. An invalid batch followed by a valid
 * one means that the file is corrupt; it is rejected with file and offset.
 */
internal class LogSegment private constructor(
    val path: Path,
    private val channel: FileChannel,
) : AutoCloseable {
    var bytes = channel.size()
        private set

    /** Offset of the next batch; data beyond it, left by a failed write, is overwritten. */
    private var syncedBytes = bytes

    /** Highest entry index in this segment. */
    var lastIndex = 0L

    fun append(records: List<Record>) {
        val body = QuorumCodec.cbor.encodeToByteArray(serializer, Batch(records))
        val buffer = ByteBuffer.allocate(body.size + BATCH_HEADER_BYTES)
        buffer.putInt(body.size)
        buffer.putInt(checksum(body))
        buffer.put(body)
        buffer.flip()
        bytes = syncedBytes
        while (buffer.hasRemaining()) bytes += channel.write(buffer, bytes)
        records.forEach { if (it is Record.Entry) lastIndex = maxOf(lastIndex, it.entry.index) }
    }

    fun sync() {
        channel.force(false)
        syncedBytes = bytes
    }

    override fun close() = channel.close()

    /** Reads all records, one batch at a time. If [isLast] is set, a torn batch at the end of the file is allowed and removed. */
    fun readAll(
        isLast: Boolean,
        visit: (Record, Long) -> Unit,
    ) {
        val reader = SegmentReader(channel)
        if (!checkHeader(reader, isLast)) return
        var offset = HEADER_BYTES.toLong()
        while (offset < reader.size) {
            val body = reader.bodyAt(offset)
            if (body == null) {
                handleInvalidBatch(reader, offset, isLast)
                return
            }
            QuorumCodec.cbor.decodeFromByteArray(serializer, body).records.forEach { record ->
                if (record is Record.Entry) lastIndex = maxOf(lastIndex, record.entry.index)
                visit(record, offset)
            }
            offset += BATCH_HEADER_BYTES + body.size
        }
    }

    private fun checkHeader(
        reader: SegmentReader,
        isLast: Boolean,
    ): Boolean {
        if (reader.size < HEADER_BYTES) {
            if (!isLast) throw CorruptFileException(path.toString(), 0, "incomplete segment header")
            truncate(0)
            writeHeader()
            return false
        }
        val magic = reader.intAt(0)
        val version = reader.intAt(Int.SIZE_BYTES.toLong())
        if (magic != MAGIC && isLast && !reader.hasValidBatches(HEADER_BYTES.toLong(), 2)) {
            // The header is synced together with the first batch and before any other is written. With at most one valid
            // batch, a power failure may therefore have lost the header before that sync.
            truncate(0)
            writeHeader()
            return false
        }
        if (magic != MAGIC) throw CorruptFileException(path.toString(), 0, "not a log segment: wrong magic number")
        if (version != FORMAT_VERSION) throw CorruptFileException(path.toString(), 4, "format version $version, expected $FORMAT_VERSION")
        return true
    }

    private fun handleInvalidBatch(
        reader: SegmentReader,
        offset: Long,
        isLast: Boolean,
    ) {
        if (!isLast || reader.hasValidBatches(offset + 1, 1)) {
            throw CorruptFileException(path.toString(), offset, "batch is truncated or does not match its checksum")
        }
        truncate(offset)
    }

    private fun truncate(size: Long) {
        channel.truncate(size)
        channel.force(true)
        bytes = size
        syncedBytes = size
    }

    private fun writeHeader() {
        val header = ByteBuffer.allocate(HEADER_BYTES).putInt(MAGIC).putInt(FORMAT_VERSION)
        header.flip()
        channel.write(header, 0)
        bytes = HEADER_BYTES.toLong()
        syncedBytes = bytes
    }

    companion object {
        private val serializer = Batch.serializer()
        private const val MAGIC = 0x524B4C47
        private const val FORMAT_VERSION = 2
        private const val HEADER_BYTES = 8
        private const val BATCH_HEADER_BYTES = SegmentReader.BATCH_HEADER_BYTES

        fun create(path: Path): LogSegment {
            val channel = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)
            return LogSegment(path, channel).also { it.writeHeader() }
        }

        fun open(path: Path): LogSegment = LogSegment(path, FileChannel.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE))

        fun checksum(bytes: ByteArray): Int = CRC32C().also { it.update(bytes) }.value.toInt()
    }
}
