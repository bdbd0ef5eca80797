package rhubarbknot.quorum.disk

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.QuorumCodec
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
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

    /** Reads all records. If [isLast] is set, a torn batch at the end of the file is allowed and removed. */
    fun readAll(
        isLast: Boolean,
        visit: (Record, Long) -> Unit,
    ) {
        val buffer = ByteBuffer.wrap(Files.readAllBytes(path))
        if (!checkHeader(buffer, isLast)) return
        while (buffer.hasRemaining()) {
            val offset = buffer.position()
            val body = validBodyAt(buffer, offset)
            if (body == null) {
                handleInvalidBatch(buffer, offset, isLast)
                return
            }
            QuorumCodec.cbor.decodeFromByteArray(serializer, body).records.forEach { record ->
                if (record is Record.Entry) lastIndex = maxOf(lastIndex, record.entry.index)
                visit(record, offset.toLong())
            }
            buffer.position(offset + BATCH_HEADER_BYTES + body.size)
        }
    }

    private fun checkHeader(
        buffer: ByteBuffer,
        isLast: Boolean,
    ): Boolean {
        if (buffer.remaining() < HEADER_BYTES) {
            if (!isLast) throw CorruptFileException(path.toString(), 0, "incomplete segment header")
            truncate(0)
            writeHeader()
            return false
        }
        val magic = buffer.getInt()
        val version = buffer.getInt()
        if (magic != MAGIC && isLast && countValidBatches(buffer, HEADER_BYTES) <= 1) {
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

    private fun validBodyAt(
        buffer: ByteBuffer,
        offset: Int,
    ): ByteArray? {
        if (buffer.limit() - offset < BATCH_HEADER_BYTES) return null
        val length = buffer.getInt(offset)
        if (length <= 0 || length > buffer.limit() - offset - BATCH_HEADER_BYTES) return null
        val body = ByteArray(length)
        buffer.get(offset + BATCH_HEADER_BYTES, body)
        return body.takeIf { checksum(it) == buffer.getInt(offset + 4) }
    }

    private fun handleInvalidBatch(
        buffer: ByteBuffer,
        offset: Int,
        isLast: Boolean,
    ) {
        if (!isLast ||
            countValidBatches(buffer, offset + 1) > 0
        ) {
            throw CorruptFileException(path.toString(), offset.toLong(), "batch is truncated or does not match its checksum")
        }
        truncate(offset.toLong())
    }

    /** Counts the valid batches that start at any offset from [from] on. */
    private fun countValidBatches(
        buffer: ByteBuffer,
        from: Int,
    ): Int = (from..buffer.limit() - BATCH_HEADER_BYTES).count { validBodyAt(buffer, it) != null }

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
        private const val BATCH_HEADER_BYTES = 8

        fun create(path: Path): LogSegment {
            val channel = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)
            return LogSegment(path, channel).also { it.writeHeader() }
        }

        fun open(path: Path): LogSegment = LogSegment(path, FileChannel.open(path, StandardOpenOption.WRITE))

        fun checksum(bytes: ByteArray): Int = CRC32C().also { it.update(bytes) }.value.toInt()
    }
}
