package rhubarbknot.daemon

/** Clock whose milliseconds never decrease: the wall-clock time at startup plus the elapsed monotonic time. */
class MonotonicClock {
    private val startWallMillis = System.currentTimeMillis()
    private val startNanos = System.nanoTime()

    /** Identifies this start of the process; differs after a restart. */
    val bootId: String = startWallMillis.toString(BOOT_ID_RADIX)

    fun millis(): Long = startWallMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val BOOT_ID_RADIX = 36
    }
}
