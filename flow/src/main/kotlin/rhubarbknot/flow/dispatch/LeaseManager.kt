package rhubarbknot.flow.dispatch

/** Tracks leases granted to workers by this leader and its predecessors; deadlines are on the workers' clocks. */
internal class LeaseManager(
    private val settings: DispatchSettings,
) {
    /** Maximum duration of a lease granted now, measured by this host's clock. */
    private val maxLeaseMillis = settings.leaseMillis * PER_MILLE / (PER_MILLE - settings.slowClockPerMille) + MARGIN_MILLIS

    /** Lease deadline for a call sent now. It is not extended while calls go unanswered, so that the leader can wait for its expiry. */
    fun grant(
        worker: WorkerRecord,
        now: Long,
    ): Long {
        if (worker.unansweredCalls == 0 || worker.grantedUntil == Long.MIN_VALUE) {
            val reading = worker.clockAtLeast(now, settings.slowClockPerMille)
            worker.grantedUntil = maxOf(worker.grantedUntil, reading + settings.leaseMillis)
        }
        return worker.grantedUntil
    }

    /** Whether every lease that any leader can have granted to the unresponsive [worker] has expired. */
    fun isExpired(
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        // A lease granted by an earlier leader started no later than the time when this leader learned of the worker.
        if (now - worker.knownSince <= maxLeaseMillis) return false
        if (worker.fenced && worker.unansweredCalls == 0) return false
        // The worker may have executed a renewal although it has never answered one.
        if (worker.grantedUntil == Long.MIN_VALUE) return true
        return worker.clockAtLeast(now, settings.slowClockPerMille) > worker.grantedUntil + MARGIN_MILLIS
    }

    private companion object {
        const val PER_MILLE = 1_000L
        const val MARGIN_MILLIS = 200L
    }
}
