package rhubarbknot.flow.dispatch

/** Leases that this leader and earlier ones granted to workers, on the workers' own clocks. */
internal class LeaseManager(
    private val settings: DispatchSettings,
) {
    /** Longest that a lease granted now can last by this host's clock. */
    private val longestMillis = settings.leaseMillis * PER_MILLE / (PER_MILLE - settings.slowClockPerMille) + MARGIN_MILLIS

    /** The deadline of an order sent now. It does not move on while the worker does not answer, so that it can be waited out. */
    fun grant(
        worker: WorkerRecord,
        now: Long,
    ): Long {
        if (worker.unanswered == 0 || worker.grantedUntil == Long.MIN_VALUE) {
            val reading = worker.clockAtLeast(now, settings.slowClockPerMille)
            worker.grantedUntil = maxOf(worker.grantedUntil, reading + settings.leaseMillis)
        }
        return worker.grantedUntil
    }

    /** Whether every deadline that any leader can have granted to a silent [worker] is over. */
    fun isSurelyOver(
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        // Whoever granted it before the worker was known here, the last lease began no later than then.
        val inheritedOver = now - worker.knownSince > longestMillis
        if (!worker.fenced) return inheritedOver
        if (worker.unanswered == 0 || !inheritedOver) return false
        return worker.clockAtLeast(now, settings.slowClockPerMille) > worker.grantedUntil + MARGIN_MILLIS
    }

    private companion object {
        const val PER_MILLE = 1_000L
        const val MARGIN_MILLIS = 200L
    }
}
