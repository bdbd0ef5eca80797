package rhubarbknot.quorum.disk

import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.Snapshot
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

/**
 * A replica's state in one folder: a segmented log and snapshots. All batches that wait are written together and
 * synced once. Segments that a snapshot covers are deleted.
 */
class FileStorage(
    private val folder: Path,
    private val segmentBytes: Long = 16L * 1024 * 1024,
) : Storage {
    private val snapshots = SnapshotFiles(folder.also { create(it) })
    private val segments = ArrayList<LogSegment>()
    private var hard = HardState()
    private var number = 0L

    override fun recover(): DurableState {
        val snapshot = snapshots.newest()
        val files = segmentPaths()
        val recovered = ArrayList<LogEntry>()
        files.forEachIndexed { i, path ->
            val file = LogSegment.open(path)
            segments.add(file)
            file.readAll(isLast = i == files.lastIndex) { record, offset -> replay(record, recovered, snapshot, path, offset) }
        }
        number = files.lastOrNull()?.let { numberOf(it) } ?: 0
        if (segments.isEmpty()) roll()
        return DurableState(hard, snapshot, recovered)
    }

    private fun replay(
        record: Record,
        entries: ArrayList<LogEntry>,
        snapshot: Snapshot?,
        path: Path,
        offset: Long,
    ) {
        when (record) {
            is Record.Hard -> hard = record.state
            is Record.Truncate -> while (entries.isNotEmpty() && entries.last().index > record.after) entries.removeLast()
            is Record.Entry -> {
                val entry = record.entry
                val expected = (entries.lastOrNull()?.index ?: snapshot?.index ?: 0) + 1
                if (entry.index >
                    expected
                ) {
                    throw CorruptFileException(path.toString(), offset, "entry ${entry.index} where $expected belongs")
                }
                if (entry.index == expected) entries.add(entry)
            }
        }
    }

    private fun segmentPaths(): List<Path> =
        Files.list(folder).use { files -> files.filter { it.name.startsWith(PREFIX) && it.name.endsWith(SUFFIX) }.toList() }.sorted()

    private fun numberOf(path: Path): Long =
        path.name
            .removePrefix(PREFIX)
            .removeSuffix(SUFFIX)
            .toLong()

    private fun roll() {
        val path = folder.resolve(PREFIX + (number + 1).toString().padStart(NUMBER_DIGITS, '0') + SUFFIX)
        // A failed attempt may have left it behind.
        Files.deleteIfExists(path)
        val file = LogSegment.create(path)
        file.append(listOf(Record.Hard(hard)))
        file.sync()
        FolderSync.sync(folder)
        segments.add(file)
        number++
    }

    override fun write(batches: List<ReplicaEffect.Persist>) {
        if (segments.last().bytes >= segmentBytes) roll()
        val records = batches.flatMap { records(it) }
        if (records.isNotEmpty()) {
            segments.last().append(records)
            segments.last().sync()
        }
        batches.mapNotNull { it.snapshot }.lastOrNull()?.let { save(it) }
    }

    private fun records(batch: ReplicaEffect.Persist): List<Record> {
        val out = ArrayList<Record>()
        batch.hardState?.let {
            hard = it
            out += Record.Hard(it)
        }
        batch.truncateAfter?.let { out += Record.Truncate(it) }
        batch.entries.forEach { out += Record.Entry(it) }
        return out
    }

    private fun save(snapshot: Snapshot) {
        snapshots.write(snapshot)
        val covered = segments.dropLast(1).takeWhile { it.lastIndex <= snapshot.index }
        covered.forEach { file ->
            file.close()
            Files.delete(file.path)
            segments.remove(file)
        }
    }

    override fun close() = segments.forEach { it.close() }

    private companion object {
        /** Makes [folder], so that it is still there after a loss of power. */
        fun create(folder: Path) {
            if (Files.isDirectory(folder)) return
            Files.createDirectories(folder)
            folder.toAbsolutePath().parent?.let { FolderSync.sync(it) }
        }

        const val PREFIX = "log-"
        const val SUFFIX = ".seg"
        const val NUMBER_DIGITS = 12
    }
}
