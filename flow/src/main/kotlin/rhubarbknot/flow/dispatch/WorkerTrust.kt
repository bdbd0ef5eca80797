package rhubarbknot.flow.dispatch

/**
 * Evidence of how well one worker works. A worker that fails what it starts, stands still or is slow gets nothing new
 * for a while; then one run at a time, until one ends well. Answers the load pattern of a worker that reports itself
 * healthy and burns the attempts of everything that it is given.
 */
internal class WorkerTrust {
    /** Nothing new is started there before. */
    var distrustedUntil = 0L
        private set

    /** Whether it has to prove itself: one run at a time. */
    var onProbation = false
        private set
    private var failuresInARow = 0
    private var lastFailedJob = ""

    /** A run of it ended well. */
    fun done() {
        failuresInARow = 0
        lastFailedJob = ""
        onProbation = false
    }

    /** A run of [job] failed; true when the worker is distrusted for it until [until]. */
    fun failed(
        job: String,
        until: Long,
    ): Boolean {
        // Failures of one job speak of the job; only those of several speak of the worker.
        if (job != lastFailedJob) failuresInARow++
        lastFailedJob = job
        if (failuresInARow < FAILURES_TO_DISTRUST) return false
        distrust(until)
        return true
    }

    /** Starts nothing there before [until], and then little. */
    fun distrust(until: Long) {
        distrustedUntil = maxOf(distrustedUntil, until)
        onProbation = true
    }

    /** Starts nothing there before [until]; says nothing about its work. */
    fun pause(until: Long) {
        distrustedUntil = maxOf(distrustedUntil, until)
    }

    /** How many runs [worker] may be given more at [now] on this evidence. */
    fun startsAllowed(
        worker: WorkerRecord,
        now: Long,
    ): Int =
        when {
            now < distrustedUntil -> 0
            !onProbation -> Int.MAX_VALUE
            worker.runs.values.any { it.proposedAt >= distrustedUntil } -> 0
            else -> 1
        }

    private companion object {
        const val FAILURES_TO_DISTRUST = 2
    }
}
