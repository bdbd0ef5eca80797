package rhubarbknot.flowd

import java.util.concurrent.TimeUnit

/**
 * Compares the wall clock with the monotonic clock. They part when the wall clock is set, and when the host is suspended: the
 * monotonic clock does not count that time.
 *
 * Not thread-safe.
 */
internal class ClockComparison(
    private val wallMillis: () -> Long = System::currentTimeMillis,
    private val monotonicNanos: () -> Long = System::nanoTime,
) {
    private var lastOffsetMillis = offsetMillis()

    /** Milliseconds by which the wall clock has advanced further than the monotonic clock since the last call, negative if less. */
    fun stepMillis(): Long {
        val offset = offsetMillis()
        val step = offset - lastOffsetMillis
        lastOffsetMillis = offset
        return step
    }

    /** Reads both clocks again when the thread was paused between the two readings, which would look like a step. */
    private fun offsetMillis(): Long {
        var offset = 0L
        repeat(MAX_READINGS) {
            val before = monotonicNanos()
            val wall = wallMillis()
            offset = wall - TimeUnit.NANOSECONDS.toMillis(before)
            if (monotonicNanos() - before < MAX_READING_NANOS) return offset
        }
        return offset
    }

    private companion object {
        const val MAX_READINGS = 3
        const val MAX_READING_NANOS = 5_000_000L
    }
}
