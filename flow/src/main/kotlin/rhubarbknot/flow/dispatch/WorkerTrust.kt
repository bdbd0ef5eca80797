package rhubarbknot.flow.dispatch

/**
 * Reliability record of a worker. A worker whose runs fail, stall or are slow gets no new runs for a while, then one run
 * at a time until one succeeds. A lasting run never succeeds; it stops counting as that one once it has run for a while.
 * This limits the damage of a worker that reports itself healthy but uses up the attempts of every task that it gets.
 */
internal class WorkerTrust {
    /** No new runs are started on the worker before this time. */
    var distrustedUntil = 0L
        private set

    /** Whether the worker is limited to one run at a time. */
    var onProbation = false
        private set
    private var consecutiveFailures = 0
    private var lastFailedJob = ""

    /** Records that a run on the worker succeeded. */
    fun recordSuccess() {
        consecutiveFailures = 0
        lastFailedJob = ""
        onProbation = false
    }

    /** Records that a run of [job] failed; returns true when the worker is now distrusted until [until]. */
    fun recordFailure(
        job: String,
        until: Long,
    ): Boolean {
        // Repeated failures of one job indicate a faulty job; only failures of several jobs indicate a faulty worker.
        if (job != lastFailedJob) consecutiveFailures++
        lastFailedJob = job
        if (consecutiveFailures < DISTRUST_THRESHOLD) return false
        distrust(until)
        return true
    }

    /** Blocks new runs until [until] and then puts the worker on probation. */
    fun distrust(until: Long) {
        distrustedUntil = maxOf(distrustedUntil, until)
        onProbation = true
    }

    /** Blocks new runs until [until] without putting the worker on probation. */
    fun pause(until: Long) {
        distrustedUntil = maxOf(distrustedUntil, until)
    }

    /** How many more runs [worker] may get at [now] by this record. */
    fun startsAllowed(
        worker: WorkerRecord,
        now: Long,
    ): Int =
        when {
            now < distrustedUntil -> 0
            !onProbation -> Int.MAX_VALUE
            worker.runs.values.any { it.proposedAt >= distrustedUntil && !it.hasLasted(now) } -> 0
            else -> 1
        }

    private companion object {
        const val DISTRUST_THRESHOLD = 2
    }
}
