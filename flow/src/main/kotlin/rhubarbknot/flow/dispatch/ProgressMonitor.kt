package rhubarbknot.flow.dispatch

import kotlin.math.ln

/**
 * Looks at how runs come on and tells sound workers from those that stand still or are slow, however healthy they say
 * they are. Runs that stand still are stopped, so that they go on elsewhere, where that is sooner than to wait.
 */
internal class ProgressMonitor(
    private val settings: DispatchSettings,
    private val times: RunDurationEstimator,
    private val runs: RunTracker,
    private val out: EffectBuffer,
) {
    /** Judges [worker] by the lists that it has just given. */
    fun look(
        worker: WorkerRecord,
        now: Long,
    ) {
        val watched = worker.runs.values.filter { it.stage == RunStage.RUNNING && !it.spec.gang && !it.spec.lasting && !it.ending }
        val still = watched.filter { it.progress.stillMillis(now) > stillLimit(it) }
        if (still.isNotEmpty()) standsStill(worker, still, now)
        if (isSlow(watched)) distrust(worker, "slow", now)
    }

    private fun stillLimit(run: RunRecord): Long = maxOf(settings.stallMillis, expected(run) / STILL_PART)

    private fun expected(run: RunRecord): Long = times.expectedMillis(run.queue, run.spec)

    private fun standsStill(
        worker: WorkerRecord,
        still: List<RunRecord>,
        now: Long,
    ) {
        distrust(worker, "runs stand still", now)
        still
            .filter { !it.stopWanted && (it.spec.checkpointing || expected(it) <= settings.redoMillis) }
            .forEach {
                it.stopWanted = true
                val stood = "stood=${it.progress.stillMillis(now)}ms"
                out.note(DispatchEvent.RUN_STALLED, it.run.task.toString(), "run=${it.run.number} worker=${worker.life.id} $stood")
            }
    }

    /** Whether runs of several steps take much longer than runs of the same steps elsewhere. */
    private fun isSlow(watched: List<RunRecord>): Boolean {
        val ratios =
            watched
                .filter { it.progress.paceMillis > 0 }
                .groupBy { StepKey(it.run.task.job, it.run.task.step) }
                .mapNotNull { (step, here) -> ratioToElsewhere(step, here) }
        return ratios.size >= STEPS_TO_JUDGE && ratios.average() > ln(SLOW_FACTOR)
    }

    private fun ratioToElsewhere(
        step: StepKey,
        here: List<RunRecord>,
    ): Double? {
        val worker = here.first().worker
        val elsewhere = runs.ofStep(step).filter { it.worker !== worker && it.progress.paceMillis > 0 }.map { it.progress.paceMillis }
        if (elsewhere.size < RUNS_TO_COMPARE) return null
        return ln(here.map { it.progress.paceMillis }.average() / elsewhere.sorted()[elsewhere.size / 2])
    }

    private fun distrust(
        worker: WorkerRecord,
        why: String,
        now: Long,
    ) {
        if (worker.trust.distrustedUntil <= now) {
            out.note(DispatchEvent.WORKER_DISTRUSTED, worker.life.id, "why=$why for=${settings.slowDistrustMillis}ms")
        }
        worker.trust.distrust(now + settings.slowDistrustMillis)
    }

    private companion object {
        /** A run must move on at least once in this part of its expected time. */
        const val STILL_PART = 8
        const val STEPS_TO_JUDGE = 2
        const val RUNS_TO_COMPARE = 2
        const val SLOW_FACTOR = 3.0
    }
}
