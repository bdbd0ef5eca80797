package rhubarbknot.quorum

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.SplittableRandom

@DisplayName("the log in memory")
class RaftLogSpec {
    private fun entry(
        index: Long,
        bytes: Int,
    ) = LogEntry(index, 1, EntryKind.COMMAND, ByteArray(bytes))

    private fun logOf(vararg sizes: Int) = RaftLog(null, sizes.mapIndexed { i, size -> entry(i + 1L, size) })

    // Entries were kept by their number alone, so a few thousand large ones outgrew the heap.
    @Test
    fun `keeps the longest suffix within both the number of entries and of bytes`() {
        val log = logOf(10, 10, 10, 500, 10, 10)
        expectThat(log.indexBeforeSuffix(maxEntries = 2, maxBytes = 1_000)).isEqualTo(4)
        expectThat(log.indexBeforeSuffix(maxEntries = 100, maxBytes = 520)).isEqualTo(3)
        expectThat(log.indexBeforeSuffix(maxEntries = 100, maxBytes = 519)).isEqualTo(4)
        expectThat(log.indexBeforeSuffix(maxEntries = 100, maxBytes = 5)).isEqualTo(6)
        expectThat(log.indexBeforeSuffix(maxEntries = 100, maxBytes = 1_000)).isEqualTo(0)
    }

    @Test
    fun `counts the bytes between two entries through any changes`() {
        val random = SplittableRandom(SEED)
        val log = logOf()
        val sizes = HashMap<Long, Int>()
        repeat(CHANGES) {
            when (random.nextInt(10)) {
                0 -> log.truncateAfter(random.nextLong(log.baseIndex, log.lastIndex + 1))
                1 -> log.compactTo(random.nextLong(log.baseIndex, log.lastIndex + 1))
                2 -> if (random.nextInt(10) == 0) log.reset(log.lastIndex + 5, 1)
                else -> {
                    val index = log.lastIndex + 1
                    sizes[index] = random.nextInt(100)
                    log.append(entry(index, sizes.getValue(index)))
                }
            }
            val from = random.nextLong(log.baseIndex, log.lastIndex + 1)
            val to = random.nextLong(from, log.lastIndex + 1)
            expectThat(log.bytesBetween(from, to)).isEqualTo((from + 1..to).sumOf { sizes.getValue(it).toLong() })
        }
    }

    private companion object {
        const val SEED = 20261205L
        const val CHANGES = 2_000
    }
}
