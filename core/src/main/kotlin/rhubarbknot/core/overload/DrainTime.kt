package rhubarbknot.core.overload

private const val MILLI_CPUS_PER_CORE = 1_000.0

/** Time in milliseconds in which [milliCpus] thousandths of a core do [coreMillis] of work; [Long.MAX_VALUE] without any. */
internal fun drainMillis(
    coreMillis: Long,
    milliCpus: Long,
): Long =
    when {
        coreMillis <= 0 -> 0
        milliCpus <= 0 -> Long.MAX_VALUE
        else -> (coreMillis * MILLI_CPUS_PER_CORE / milliCpus).toLong()
    }
