package rhubarbknot.quorum.disk

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import rhubarbknot.quorum.QuorumCodec
import rhubarbknot.quorum.Snapshot
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.name

/** Snapshot files of one replica. Each is written to a temporary file, synced and renamed; then the folder is synced. */
internal class SnapshotFiles(
    private val folder: Path,
) {
    fun write(snapshot: Snapshot) {
        val body = QuorumCodec.cbor.encodeToByteArray(snapshot)
        val temp = folder.resolve("snapshot.tmp")
        FileChannel.open(temp, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE).use { channel ->
            val header =
                ByteBuffer
                    .allocate(HEADER_BYTES)
                    .putInt(MAGIC)
                    .putInt(FORMAT_VERSION)
                    .putInt(LogSegment.checksum(body))
                    .flip()
            val parts = arrayOf(header, ByteBuffer.wrap(body))
            while (parts.any { it.hasRemaining() }) channel.write(parts)
            channel.force(true)
        }
        Files.move(temp, folder.resolve(fileNameOf(snapshot.index)), StandardCopyOption.ATOMIC_MOVE)
        FolderSync.sync(folder)
        list().filter { it.name < fileNameOf(snapshot.index) }.forEach { Files.delete(it) }
    }

    /** Reads the latest snapshot, or returns null if there is none. */
    fun newest(): Snapshot? {
        val file = list().lastOrNull() ?: return null
        val (header, body) = Files.newInputStream(file).use { ByteBuffer.wrap(it.readNBytes(HEADER_BYTES)) to it.readAllBytes() }
        if (header.remaining() < HEADER_BYTES || header.getInt() != MAGIC) throw CorruptFileException(file.toString(), 0, "not a snapshot")
        val version = header.getInt()
        if (version != FORMAT_VERSION) throw CorruptFileException(file.toString(), 4, "format version $version, expected $FORMAT_VERSION")
        val expectedSum = header.getInt()
        if (LogSegment.checksum(body) != expectedSum) throw CorruptFileException(file.toString(), 8, "snapshot does not match its checksum")
        return QuorumCodec.cbor.decodeFromByteArray(body)
    }

    private fun list(): List<Path> =
        Files.list(folder).use { files -> files.filter { it.name.startsWith(PREFIX) && it.name.endsWith(SUFFIX) }.toList() }.sorted()

    private fun fileNameOf(index: Long) = PREFIX + index.toString().padStart(INDEX_DIGITS, '0') + SUFFIX

    private companion object {
        const val MAGIC = 0x524B5350
        const val FORMAT_VERSION = 1
        const val HEADER_BYTES = 12
        const val INDEX_DIGITS = 19
        const val PREFIX = "snapshot-"
        const val SUFFIX = ".snap"
    }
}

/** Syncs a folder, which makes renames and new files in it durable. */
internal object FolderSync {
    fun sync(folder: Path) = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}
