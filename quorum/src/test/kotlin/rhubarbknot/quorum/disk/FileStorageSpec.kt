package rhubarbknot.quorum.disk

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import rhubarbknot.quorum.EntryKind
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.ReplicaId
import rhubarbknot.quorum.Snapshot
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

@DisplayName("file storage")
class FileStorageSpec {
    @TempDir
    lateinit var folder: Path

    private val voter = ReplicaId("a")

    private companion object {
        const val TORN_BYTES = 12

        /** Payload of 50 MB. */
        const val LARGE_ENTRIES = 100L
        const val SMALL_HEAP = "32m"
    }

    private fun entry(
        index: Long,
        text: String = "entry $index",
    ) = LogEntry(index, 1, EntryKind.COMMAND, text.toByteArray())

    private fun batch(
        sequence: Long,
        entries: List<LogEntry> = emptyList(),
        hard: HardState? = null,
        truncateAfter: Long? = null,
        snapshot: Snapshot? = null,
    ) = ReplicaEffect.Persist(sequence, hard, truncateAfter, entries, snapshot)

    private fun writeToStorage(vararg batches: ReplicaEffect.Persist) {
        FileStorage(folder, segmentBytes = 200).use { storage ->
            storage.recover()
            batches.forEach { storage.write(listOf(it)) }
        }
    }

    private fun recovered() = FileStorage(folder, segmentBytes = 200).use { it.recover() }

    private fun segments() = Files.list(folder).use { files -> files.filter { it.name.endsWith(".seg") }.sorted().toList() }

    @Test
    fun `recovers entries across segments with truncations applied`() {
        writeToStorage(
            batch(1, (1L..20L).map { entry(it) }, HardState(3, voter)),
            batch(2, (21L..30L).map { entry(it) }),
            batch(3, listOf(entry(26, "other")), truncateAfter = 25),
        )
        val state = recovered()
        expectThat(state.hardState).isEqualTo(HardState(3, voter))
        expectThat(state.entries.map { it.index }).isEqualTo((1L..26L).toList())
        expectThat(String(state.entries.last().payload)).isEqualTo("other")
        expectThat(segments().size).isEqualTo(3)
    }

    // A power failure between the two left entries without the snapshot they follow, and the process could not start any more.
    @Test
    fun `writes no entries that follow an installed snapshot before the snapshot`() {
        writeToStorage(batch(1, (1L..3L).map { entry(it) }))
        Files.createDirectory(folder.resolve("snapshot.tmp"))
        val snapshot = Snapshot(10, 1, Members(setOf(voter)), "state".toByteArray())
        FileStorage(folder, segmentBytes = 200).use { storage ->
            storage.recover()
            val installed = batch(2, truncateAfter = 10, snapshot = snapshot)
            expectThrows<IOException> { storage.write(listOf(installed, batch(3, listOf(entry(11))))) }
        }
        Files.delete(folder.resolve("snapshot.tmp"))
        expectThat(recovered().entries.map { it.index }).isEqualTo(listOf(1L, 2L, 3L))
    }

    @Test
    fun `syncs a write with much payload in several parts that are recovered in order`() {
        val large = "x".repeat(300_000)
        writeToStorage(batch(1, (1L..5L).map { entry(it, large) }, HardState(3, voter)), batch(2, (6L..7L).map { entry(it, large) }))
        expectThat(recovered().entries.map { it.index }).isEqualTo((1L..7L).toList())
        expectThat(recovered().hardState).isEqualTo(HardState(3, voter))
    }

    // The control nodes ran out of memory at each start once the log had grown by some hundred large configurations.
    @Test
    fun `recovers a log that is larger than the heap when a snapshot covers it`() {
        val payload = "x".repeat(500_000)
        FileStorage(folder, segmentBytes = Long.MAX_VALUE).use { storage ->
            storage.recover()
            for (i in 1L..LARGE_ENTRIES) storage.write(listOf(batch(i, listOf(entry(i, payload)))))
            val snapshot = Snapshot(LARGE_ENTRIES, 1, Members(setOf(voter)), "state".toByteArray())
            storage.write(listOf(batch(LARGE_ENTRIES + 1, snapshot = snapshot)))
        }
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        val process =
            ProcessBuilder(java, "-Xmx$SMALL_HEAP", "-cp", classPath, RecoveringProcess::class.java.name, folder.toString())
                .redirectErrorStream(true)
                .start()
        try {
            val output = process.inputStream.readAllBytes().decodeToString()
            expectThat(output.trim()).isEqualTo("snapshot $LARGE_ENTRIES, 0 entries")
        } finally {
            process.destroyForcibly()
        }
    }

    @Test
    fun `recovers the same state when a batch is written twice because the first write failed`() {
        val batch = batch(2, (3L..4L).map { entry(it, "new") }, HardState(2, voter), truncateAfter = 2)
        writeToStorage(batch(1, (1L..5L).map { entry(it) }), batch, batch)
        val state = recovered()
        expectThat(state.entries.map { it.payload.decodeToString() }).isEqualTo(listOf("entry 1", "entry 2", "new", "new"))
        expectThat(state.hardState).isEqualTo(HardState(2, voter))
    }

    @Test
    fun `keeps the term and vote when earlier segments have been deleted`() {
        val snapshot = Snapshot(30, 1, Members(setOf(voter)), "state".toByteArray())
        writeToStorage(
            batch(1, (1L..20L).map { entry(it) }, HardState(7, voter)),
            batch(2, (21L..30L).map { entry(it) }),
            batch(3, listOf(entry(31))),
            batch(4, snapshot = snapshot),
        )
        val state = recovered()
        expectThat(state.hardState).isEqualTo(HardState(7, voter))
        expectThat(state.snapshot).isNotNull().get { String(this.state) }.isEqualTo("state")
        expectThat(state.entries.map { it.index }).isEqualTo(listOf(31L))
        expectThat(segments().size).isEqualTo(1)
    }

    @Nested
    @DisplayName("with damaged files")
    inner class DamagedFiles {
        @Test
        fun `discards a truncated last batch`() {
            writeToStorage(batch(1, listOf(entry(1))), batch(2, listOf(entry(2))))
            val file = segments().last()
            val bytes = Files.readAllBytes(file)
            Files.write(file, bytes.copyOf(bytes.size - 3))
            expectThat(recovered().entries.map { it.index }).isEqualTo(listOf(1L))
        }

        @Test
        fun `discards the last batch wherever a power failure tore it`() {
            writeToStorage(batch(1, listOf(entry(1))), batch(2, (2L..3L).map { entry(it) }))
            val file = segments().last()
            val original = Files.readAllBytes(file)
            val lastBatchOffset = original.size - lastBatchSize(original)
            for (tornOffset in lastBatchOffset until original.size - TORN_BYTES) {
                val bytes = original.copyOf()
                bytes.fill(0, tornOffset, tornOffset + TORN_BYTES)
                Files.write(file, bytes)
                expectThat(recovered().entries.map { it.index }).isEqualTo(listOf(1L))
            }
        }

        @Test
        fun `reinitializes the last segment if a power failure lost its header`() {
            writeToStorage(batch(1, listOf(entry(1))))
            val file = folder.resolve("log-000000000009.seg")
            Files.write(file, ByteArray(40))
            expectThat(recovered().entries.map { it.index }).isEqualTo(listOf(1L))
        }

        /** Size of the last batch of [segment], which holds a header, then a length, a checksum and a body per batch. */
        private fun lastBatchSize(segment: ByteArray): Int {
            val buffer = java.nio.ByteBuffer.wrap(segment)
            var offset = 8
            var size = 0
            while (offset < segment.size) {
                size = 8 + buffer.getInt(offset)
                offset += size
            }
            return size
        }

        @Test
        fun `rejects a flipped bit before the last batch with file and offset`() {
            FileStorage(folder).use { storage ->
                storage.recover()
                (1L..9L).forEach { storage.write(listOf(batch(it, listOf(entry(it))))) }
            }
            val file = segments().single()
            val bytes = Files.readAllBytes(file)
            bytes[bytes.size / 2] = (bytes[bytes.size / 2].toInt() xor 4).toByte()
            Files.write(file, bytes)
            val error = expectThrows<CorruptFileException> { recovered() }.subject
            expectThat(error.message).isNotNull().contains(file.name).contains("offset")
        }

        @Test
        fun `rejects a log with a missing segment`() {
            writeToStorage(
                batch(1, (1L..20L).map { entry(it) }),
                batch(2, (21L..40L).map { entry(it) }),
                batch(3, (41L..60L).map { entry(it) }),
            )
            Files.delete(segments()[1])
            val error = expectThrows<CorruptFileException> { recovered() }.subject
            expectThat(error.message).isNotNull().contains("found entry 41, expected 21")
        }

        @Test
        fun `rejects a snapshot that does not match its checksum`() {
            writeToStorage(batch(1, listOf(entry(1))), batch(2, snapshot = Snapshot(1, 1, Members(setOf(voter)), ByteArray(50))))
            val file = Files.list(folder).use { files -> files.filter { it.name.endsWith(".snap") }.toList() }.single()
            val bytes = Files.readAllBytes(file)
            bytes[40] = (bytes[40] + 1).toByte()
            Files.write(file, bytes)
            expectThrows<CorruptFileException> { recovered() }
        }

        @Test
        fun `rejects an unsupported format version`() {
            writeToStorage(batch(1, listOf(entry(1))))
            val file = segments().last()
            val bytes = Files.readAllBytes(file)
            bytes[7] = 99
            Files.write(file, bytes)
            val error = expectThrows<CorruptFileException> { recovered() }.subject
            expectThat(error.message).isNotNull().contains("format version 99")
        }
    }

    @Test
    fun `ignores a temporary snapshot file`() {
        writeToStorage(batch(1, listOf(entry(1))))
        Files.write(folder.resolve("snapshot.tmp"), ByteArray(10))
        expectThat(recovered().snapshot).isNull()
    }

    @Test
    fun `rejects a second lock on the same data folder`() {
        DataFolder(folder).use {
            val error = expectThrows<IOException> { DataFolder(folder) }.subject
            expectThat(error.message).isNotNull().contains("in use by another process")
        }
        DataFolder(folder).close()
    }
}
