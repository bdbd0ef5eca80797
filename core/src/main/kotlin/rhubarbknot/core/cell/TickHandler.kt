package rhubarbknot.core.cell

/** Handles deadlines, overdue stops and periodic sweeps as time passes. */
internal class TickHandler(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
    private val admission: Admission,
    private val attempts: AttemptTracker,
    private val draining: Draining,
) {
    private val now get() = index.state.now

    fun tick() {
        admission.refuseExpired()
        repeatOverdueStops()
        if (now - index.state.sweptAt < SWEEP_INTERVAL_MILLIS) return
        index.state.sweptAt = now
        attempts.endQuarantines()
        draining.advance()
        draining.offerUnplaceable()
        admission.checkPlaceable()
        forgetExpired()
        index.markAllDirty()
    }

    fun nextWakeMillis(): Long? {
        val soon = index.delayed.isNotEmpty() || index.deadlines.isNotEmpty() || index.stops.isNotEmpty()
        val waiting = index.backlogs.any { it.pendingTasks > 0 } || index.leaving.isNotEmpty()
        return when {
            soon || waiting -> 0
            index.state.jobs.isNotEmpty() || index.quarantined.isNotEmpty() -> SWEEP_INTERVAL_MILLIS
            else -> null
        }
    }

    private fun repeatOverdueStops() {
        while (true) {
            val task = index.stops.firstOrNull() ?: return
            if (task.stopAt > now) return
            lifecycle.repeatStop(task, now + Admission.KILL_REPEAT_MILLIS)
        }
    }

    private fun forgetExpired() {
        val retainMillis = listOf(index.policy.retainIdempotentMillis, index.policy.retainMillis)
        index.finished.forEachIndexed { i, jobs -> forget(jobs, now - retainMillis[i]) }
        forget(index.movedJobs, now - MOVED_RETENTION_MILLIS)
    }

    private fun forget(
        jobs: java.util.TreeSet<Job>,
        before: Long,
    ) {
        while (true) {
            val job = jobs.firstOrNull() ?: return
            if (job.finishedAt > before) return
            lifecycle.forget(job)
        }
    }

    private companion object {
        const val SWEEP_INTERVAL_MILLIS = 1_000L

        /** Time for which a zone remembers to which zone it handed a job over. */
        const val MOVED_RETENTION_MILLIS = 24L * 3_600_000
    }
}
