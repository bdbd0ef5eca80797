package rhubarbknot.core.cell

/** What happens because time has passed. */
internal class TickHandler(
    private val index: CellIndex,
    private val book: JobLifecycle,
    private val admission: Admission,
    private val attempts: AttemptTracker,
    private val draining: Draining,
) {
    private val now get() = index.state.now

    fun tick() {
        admission.expire()
        insistOnStops()
        if (now - index.state.sweptAt < SWEEP_MILLIS) return
        index.state.sweptAt = now
        attempts.endQuarantines()
        draining.advance()
        draining.moveMisfits()
        admission.checkFit()
        forgetOld()
        index.touchAll()
    }

    fun nextWakeMillis(): Long? {
        val soon = index.delayed.isNotEmpty() || index.deadlines.isNotEmpty() || index.stops.isNotEmpty()
        val waiting = index.lanes.any { it.pendingTasks > 0 } || index.leaving.isNotEmpty()
        return when {
            soon || waiting -> 0
            index.state.jobs.isNotEmpty() || index.quarantined.isNotEmpty() -> SWEEP_MILLIS
            else -> null
        }
    }

    private fun insistOnStops() {
        while (true) {
            val task = index.stops.firstOrNull() ?: return
            if (task.stopAt > now) return
            book.insist(task, now + Admission.KILL_REPEAT_MILLIS)
        }
    }

    private fun forgetOld() {
        val keep = listOf(index.policy.retainIdempotentMillis, index.policy.retainMillis)
        index.finished.forEachIndexed { i, jobs -> forget(jobs, now - keep[i]) }
        forget(index.stubs, now - STUB_MILLIS)
    }

    private fun forget(
        jobs: java.util.TreeSet<Job>,
        before: Long,
    ) {
        while (true) {
            val job = jobs.firstOrNull() ?: return
            if (job.finishedAt > before) return
            book.forget(job)
        }
    }

    private companion object {
        const val SWEEP_MILLIS = 1_000L

        /** How long a zone remembers where it sent a job. */
        const val STUB_MILLIS = 24L * 3_600_000
    }
}
