package rhubarbknot.flow.dispatch

/**
 * Reliability record of a worker, and the limits on its new runs that follow from it. They limit the damage of a worker that reports
 * itself healthy but uses up the attempts of every task that it gets.
 *
 * A worker whose runs fail, stall or are slow is distrusted: it gets no new runs for a while. It is then on probation, with few new runs,
 * until a run has succeeded or some time has passed; other workers are preferred to it for longer. A worker that turns starts away is only
 * busy: it gets no new runs for a moment. Each of these limits ends by time alone, since no run may ever come that ends it, and soon enough
 * that no job stands still for too long which only this worker can run.
 */
internal class WorkerTrust {
    private var distrustedAt = 0L
    private var distrustedUntil = 0L
    private var busyUntil = 0L

    /** Until when the worker is limited because of its runs, unless one succeeds before. */
    var limitedUntil = 0L
        private set

    private var suspectedUntil = 0L

    /** Whether the limits that rest on its runs are lifted, since too many workers would be limited otherwise. */
    var isLifted = false

    /** Jobs whose runs have failed on the worker since the last run that succeeded, with the times of their last failures. */
    private val failedJobs = LinkedHashMap<String, Long>()
    private var consecutiveRefusals = 0

    /** Whether no new runs are to be started on the worker because its runs have failed, stalled or been slow. */
    fun isDistrusted(now: Long): Boolean = now < distrustedUntil && !isLifted

    /** Whether the worker is limited to a new run now and then. */
    fun isOnProbation(now: Long): Boolean = isLimited(now) && !isLifted

    /** Whether its runs give reason to limit the worker. */
    fun isLimited(now: Long): Boolean = now < limitedUntil

    /** Whether other workers are preferred for new runs. */
    fun isSuspected(now: Long): Boolean = now < suspectedUntil

    /** Whether any new run may be started on the worker. */
    fun acceptsRuns(now: Long): Boolean = now >= busyUntil && !isDistrusted(now)

    /** Records that a run on the worker succeeded. */
    fun recordSuccess() {
        failedJobs.clear()
        limitedUntil = distrustedUntil
        suspectedUntil = distrustedUntil
    }

    /**
     * Records that [run] failed at [now], and whether it [isRepeat], a task that has failed before: then the task is the likely cause.
     * Returns true when the worker is now distrusted until [until].
     */
    fun recordFailure(
        run: RunRecord,
        isRepeat: Boolean,
        now: Long,
        until: Long,
    ): Boolean {
        // The worker is limited already for what was started there before.
        if (run.proposedAt < distrustedAt) return false
        if (isRepeat) {
            if (isLimited(now)) recordBusy(now + FAILED_PROBE_MILLIS)
            return false
        }
        failedJobs.values.removeIf { now - it > EVIDENCE_MILLIS }
        // Repeated failures of one job indicate a faulty job; only failures of several jobs indicate a faulty worker.
        failedJobs[run.run.task.job] = now
        if (failedJobs.size > DISTRUST_THRESHOLD) failedJobs.remove(failedJobs.keys.first())
        if (failedJobs.size < DISTRUST_THRESHOLD) return false
        distrust(now, until)
        return true
    }

    /** Blocks new runs from [now] until [until] and then puts the worker on probation. */
    fun distrust(
        now: Long,
        until: Long,
    ) {
        distrustedAt = now
        distrustedUntil = maxOf(distrustedUntil, until)
        limitedUntil = maxOf(limitedUntil, until + PROBATION_MILLIS)
        suspectedUntil = maxOf(suspectedUntil, until + SUSPICION_MILLIS)
    }

    /** Records that the worker is too busy for new runs until [until]. */
    fun recordBusy(until: Long) {
        busyUntil = maxOf(busyUntil, until)
    }

    /** Records that the worker accepted a start. */
    fun recordAcceptance() {
        consecutiveRefusals = 0
    }

    /** Records that the worker, although it reports itself healthy, turned a start away at [now]. */
    fun recordRefusal(now: Long) {
        // The starts that were sent together are refused together.
        if (now < busyUntil) return
        recordBusy(now + (FIRST_REFUSAL_MILLIS shl minOf(consecutiveRefusals, MAX_REFUSAL_DOUBLINGS)))
        consecutiveRefusals++
    }

    /** How many more runs [worker] may get at [now] by this record. */
    fun startsAllowed(
        worker: WorkerRecord,
        now: Long,
    ): Int =
        when {
            !acceptsRuns(now) -> 0
            !isOnProbation(now) -> Int.MAX_VALUE
            worker.runs.values.any { it.proposedAt > now - PROBE_INTERVAL_MILLIS } -> 0
            else -> 1
        }

    private companion object {
        const val DISTRUST_THRESHOLD = 2

        /** Age at which a failure no longer counts against the worker. */
        const val EVIDENCE_MILLIS = 10_000L

        /** Duration of probation. With the time without runs before it, this is below the 3 s for which a job may stand still. */
        const val PROBATION_MILLIS = 800L

        /** Time between two new runs on probation: a worker that fails its runs at once fails one of them. */
        const val PROBE_INTERVAL_MILLIS = 200L

        /** Time without new runs after a run on probation that failed without being evidence against the worker. */
        const val FAILED_PROBE_MILLIS = 500L

        /** Time after which a worker that was distrusted is as good as any other. */
        const val SUSPICION_MILLIS = 10_000L

        /** Time without new runs after a refused start. */
        const val FIRST_REFUSAL_MILLIS = 500L

        /** How often that time is doubled by further refusals, so that it stays below the 3 s for which a job may stand still. */
        const val MAX_REFUSAL_DOUBLINGS = 2
    }
}
