package rhubarbknot.flow.dispatch

/** Rate at which the waiting work of one priority in a pool is started, averaged over some seconds. */
internal class StartRate {
    private var startedCoreMillis = 0L
    private var average = 0.0

    /** Thousandths of a core. */
    val milliCpus: Long get() = average.toLong()

    fun started(coreMillis: Long) {
        startedCoreMillis += coreMillis
    }

    /** Ends a period of [periodMillis]. */
    fun periodEnded(periodMillis: Long) {
        val rate = startedCoreMillis.toDouble() * MILLI_CPUS_PER_CORE / periodMillis
        average += (rate - average) * minOf(1.0, periodMillis.toDouble() / AVERAGED_MILLIS)
        startedCoreMillis = 0
    }

    private companion object {
        const val AVERAGED_MILLIS = 5_000
        const val MILLI_CPUS_PER_CORE = 1_000
    }
}
