package rhubarbknot.flow.dispatch

/** Tracks leases granted to workers by this leader and its predecessors; deadlines are on the workers' clocks. */
internal class LeaseManager(
    private val settings: DispatchSettings,
) {
    /** Lease deadline for a call sent now. It is not extended while calls go unanswered, so that the leader can wait for its expiry. */
    fun grant(
        worker: WorkerRecord,
        now: Long,
    ): Long {
        if (worker.unansweredCalls == 0 || worker.grantedUntil == Long.MIN_VALUE) {
            val reading = worker.clockAtLeast(now, settings.slowClockPerMille)
            val leaseMillis = if (worker.report?.draining == true) settings.drainingLeaseMillis else settings.leaseMillis
            worker.grantedUntil = maxOf(worker.grantedUntil, reading + leaseMillis)
        }
        return worker.grantedUntil
    }

    /**
     * Records that [worker], whose clock shows [reading], has seen this leader's fencing token at [now]. Before, a young worker may
     * have executed calls to an earlier incarnation under its id: their deadlines are on another clock, so it may hold the longest
     * lease.
     */
    fun recordFencing(
        worker: WorkerRecord,
        reading: Long,
        now: Long,
    ) {
        if (isYoung(worker, now)) worker.inheritedUntil = reading + settings.longestLeaseMillis
    }

    /** Whether every lease that any leader can have granted to the unresponsive [worker] has expired. */
    fun isExpired(
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        // A lease granted by an earlier leader started no later than the time when this leader learned of the worker.
        if (now - worker.knownSince <= onThisClock(longestInheritedLease(worker, now))) return false
        if (worker.fenced && worker.unansweredCalls == 0) return false
        // The worker may have executed a renewal although it has never answered one.
        val deadline = maxOf(worker.grantedUntil, worker.inheritedUntil)
        if (deadline == Long.MIN_VALUE) return true
        return worker.clockAtLeast(now, settings.slowClockPerMille) > deadline + MARGIN_MILLIS
    }

    /** Longest lease in milliseconds that [worker] may hold since before this leader learned of it. */
    private fun longestInheritedLease(
        worker: WorkerRecord,
        now: Long,
    ): Long = if (!worker.fenced && isYoung(worker, now)) settings.longestLeaseMillis else settings.leaseMillis

    /** Whether a lease that a call to an earlier incarnation granted to [worker] may still last. */
    private fun isYoung(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = now - worker.incarnation.born <= settings.lateCallMillis + settings.longestLeaseMillis

    /** Longest time on this host's clock that a lease of [leaseMillis] on a worker's clock takes, with a margin. */
    private fun onThisClock(leaseMillis: Long) = leaseMillis * PER_MILLE / (PER_MILLE - settings.slowClockPerMille) + MARGIN_MILLIS

    private companion object {
        const val PER_MILLE = 1_000L
        const val MARGIN_MILLIS = 200L
    }
}
