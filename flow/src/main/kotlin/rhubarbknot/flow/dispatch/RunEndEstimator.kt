package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** Estimates when runs end, from the learned [durations]. */
internal class RunEndEstimator(
    private val durations: RunDurationEstimator,
) {
    /** When [worker] is expected to have [needed] resources free, at [now]; [Long.MAX_VALUE] if lasting runs keep them for good. */
    fun availableAt(
        worker: WorkerRecord,
        needed: Resources,
        now: Long,
    ): Long {
        var free = worker.free
        if (needed.fitsIn(free)) return now
        val ends =
            worker.runs.values
                .filter { !it.spec.lasting }
                .map { endsAt(it, now) to it.demand }
                .sortedBy { it.first }
        ends.forEach { (at, demand) ->
            free += demand
            if (needed.fitsIn(free)) return at
        }
        return Long.MAX_VALUE
    }

    /** A run that is over its estimate is expected to take half as long again as it has taken so far. */
    private fun endsAt(
        run: RunRecord,
        now: Long,
    ): Long {
        val startedAt = if (run.confirmedAt == Long.MAX_VALUE) run.proposedAt else run.confirmedAt
        val elapsed = now - startedAt
        val left = durations.expectedMillis(run.queue, run.spec) - elapsed
        return now + maxOf(left, elapsed / OVERRUN_DIVISOR)
    }

    private companion object {
        const val OVERRUN_DIVISOR = 2
    }
}
