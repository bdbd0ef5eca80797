package rhubarbknot.quorum.disk

import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * The data folder of a process. An exclusive file lock prevents other processes from using it until it is closed or
 * the process ends.
 */
class DataFolder(
    val path: Path,
) : AutoCloseable {
    private val lockChannel: FileChannel

    init {
        Files.createDirectories(path)
        lockChannel = FileChannel.open(path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
        val lock =
            try {
                lockChannel.tryLock()
            } catch (_: OverlappingFileLockException) {
                null
            }
        if (lock == null) {
            lockChannel.close()
            throw IOException("$path is in use by another process")
        }
    }

    fun storage(group: String): Storage = FileStorage(path.resolve(group))

    override fun close() = lockChannel.close()
}
