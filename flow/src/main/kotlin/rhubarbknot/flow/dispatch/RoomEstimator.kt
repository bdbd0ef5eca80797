package rhubarbknot.flow.dispatch

import rhubarbknot.flow.state.Job

/**
 * Room that a job needs, as cores times milliseconds.
 *
 * @property remainingCoreMillis what its tasks without a run need.
 * @property totalCoreMillis what all of its tasks need, with those that are done or running.
 * @property typicalCoreMillis mean of the latter over the jobs of its queue.
 */
internal class RoomNeed(
    val remainingCoreMillis: Long,
    val totalCoreMillis: Long,
    val typicalCoreMillis: Long,
) {
    companion object {
        /** For work whose order doesn't depend on its room. */
        val UNKNOWN = RoomNeed(0, 0, 0)
    }
}

/** Estimates the room that jobs need, and learns per queue how much that is in the mean. */
internal class RoomEstimator(
    private val durations: RunDurationEstimator,
) {
    private val typical = HashMap<String, Double>()

    /** Records the size of [job], which is seen for the first time. */
    fun learn(job: Job) {
        val total = total(job).toDouble()
        typical.merge(job.request.queue, total) { mean, new -> mean + (new - mean) * SMOOTHING_FACTOR }
    }

    fun need(job: Job): RoomNeed =
        RoomNeed(
            remainingCoreMillis = sumOverSteps(job) { job.unassignedCount(it) },
            totalCoreMillis = total(job),
            typicalCoreMillis = typical[job.request.queue]?.toLong() ?: 0,
        )

    private fun total(job: Job): Long = sumOverSteps(job) { job.request.steps[it].count }

    /** Room of the tasks of [job] that [taskCount] counts for each step. */
    private inline fun sumOverSteps(
        job: Job,
        taskCount: (Int) -> Int,
    ): Long {
        var sum = 0.0
        job.request.steps.forEachIndexed { i, step ->
            val milliCpus = taskCount(i).toDouble() * step.demand.milliCpus
            sum += milliCpus * durations.expectedMillis(job.request.queue, step) / MILLI_CPUS_PER_CORE
        }
        return sum.toLong()
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.02
        const val MILLI_CPUS_PER_CORE = 1_000
    }
}
