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
 * Stores the state of one replica in a folder, as a segmented log and snapshots. The batches of a write share a sync, except
 * that a sync covers little more than [SYNC_BYTES] of payload. Segments fully covered by a snapshot are deleted.
 */
class FileStorage(
    private val folder: Path,
    private val segmentBytes: Long = 4L * 1024 * 1024,
) : Storage {
    private val snapshots = SnapshotFiles(folder.also { createDurably(it) })
    private val segments = ArrayList<LogSegment>()
    private var hardState = HardState()
    private var lastSegmentNumber = 0L

    override fun recover(): DurableState {
        val snapshot = snapshots.newest()
        val paths = segmentPaths()
        val recovered = ArrayList<LogEntry>()
        paths.forEachIndexed { i, path ->
            val segment = LogSegment.open(path)
            segments.add(segment)
            segment.readAll(isLast = i == paths.lastIndex) { record, offset -> replay(record, recovered, snapshot, path, offset) }
        }
        lastSegmentNumber = paths.lastOrNull()?.let { segmentNumberOf(it) } ?: 0
        if (segments.isEmpty()) startNewSegment()
        return DurableState(hardState, snapshot, recovered)
    }

    private fun replay(
        record: Record,
        entries: ArrayList<LogEntry>,
        snapshot: Snapshot?,
        path: Path,
        offset: Long,
    ) {
        when (record) {
            is Record.HardStateUpdate -> hardState = record.state
            is Record.Truncate -> while (entries.isNotEmpty() && entries.last().index > record.after) entries.removeLast()
            is Record.Entry -> {
                val entry = record.entry
                val expected = (entries.lastOrNull()?.index ?: snapshot?.index ?: 0) + 1
                if (entry.index >
                    expected
                ) {
                    throw CorruptFileException(path.toString(), offset, "found entry ${entry.index}, expected $expected")
                }
                if (entry.index == expected) entries.add(entry)
            }
        }
    }

    private fun segmentPaths(): List<Path> =
        Files.list(folder).use { files -> files.filter { it.name.startsWith(PREFIX) && it.name.endsWith(SUFFIX) }.toList() }.sorted()

    private fun segmentNumberOf(path: Path): Long =
        path.name
            .removePrefix(PREFIX)
            .removeSuffix(SUFFIX)
            .toLong()

    private fun startNewSegment() {
        val path = folder.resolve(PREFIX + (lastSegmentNumber + 1).toString().padStart(NUMBER_DIGITS, '0') + SUFFIX)
        // A previous failed attempt may have left this file behind.
        Files.deleteIfExists(path)
        val segment = LogSegment.create(path)
        segment.append(listOf(Record.HardStateUpdate(hardState)))
        segment.sync()
        FolderSync.sync(folder)
        segments.add(segment)
        lastSegmentNumber++
    }

    override fun write(batches: List<ReplicaEffect.Persist>) {
        val records = ArrayList<Record>()
        var bytes = 0
        var newestSnapshot: Snapshot? = null
        for (batch in batches) {
            val replacesLog = batch.snapshot != null && batch.truncateAfter != null
            if (replacesLog) {
                // The entries that follow refer to this snapshot, so it must be on disk before them.
                append(records)
                bytes = 0
                batch.snapshot?.let { saveSnapshot(it) }
                newestSnapshot = null
            } else if (batch.snapshot != null) {
                newestSnapshot = batch.snapshot
            }
            for (record in toRecords(batch)) {
                records += record
                bytes += (record as? Record.Entry)?.entry?.payload?.size ?: 0
                if (bytes < SYNC_BYTES) continue
                append(records)
                bytes = 0
            }
        }
        append(records)
        newestSnapshot?.let { saveSnapshot(it) }
    }

    /** Appends and syncs [records] as one unit and removes them from the list. */
    private fun append(records: ArrayList<Record>) {
        if (records.isEmpty()) return
        if (segments.last().bytes >= segmentBytes) startNewSegment()
        segments.last().append(records)
        segments.last().sync()
        records.clear()
    }

    private fun toRecords(batch: ReplicaEffect.Persist): List<Record> {
        val records = ArrayList<Record>()
        batch.hardState?.let {
            hardState = it
            records += Record.HardStateUpdate(it)
        }
        batch.truncateAfter?.let { records += Record.Truncate(it) }
        batch.entries.forEach { records += Record.Entry(it) }
        return records
    }

    private fun saveSnapshot(snapshot: Snapshot) {
        snapshots.write(snapshot)
        val covered = segments.dropLast(1).takeWhile { it.lastIndex <= snapshot.index }
        covered.forEach { segment ->
            segment.close()
            Files.delete(segment.path)
            segments.remove(segment)
        }
    }

    override fun close() = segments.forEach { it.close() }

    private companion object {
        /** Creates [folder] and syncs its parent, so that it survives a power failure. */
        fun createDurably(folder: Path) {
            if (Files.isDirectory(folder)) return
            Files.createDirectories(folder)
            folder.toAbsolutePath().parent?.let { FolderSync.sync(it) }
        }

        /** A unit is encoded and decoded in memory as a whole. */
        const val SYNC_BYTES = 512 * 1024
        const val PREFIX = "log-"
        const val SUFFIX = ".seg"
        const val NUMBER_DIGITS = 12
    }
}
