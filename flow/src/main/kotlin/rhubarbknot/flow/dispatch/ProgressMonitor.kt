package rhubarbknot.flow.dispatch

import kotlin.math.ln

/**
 * Detects stalled and slow workers from the progress of their runs, even when the workers report themselves healthy.
 * Stalled runs are stopped and continued elsewhere when that is expected to be faster than waiting.
 */
internal class ProgressMonitor(
    private val settings: DispatchSettings,
    private val durations: RunDurationEstimator,
    private val runs: RunTracker,
    private val effects: EffectBuffer,
) {
    /** Evaluates [worker] after it has listed its runs. */
    fun evaluate(
        worker: WorkerRecord,
        now: Long,
    ) {
        val monitored = worker.runs.values.filter { it.stage == RunStage.RUNNING && !it.spec.gang && !it.spec.lasting && !it.ending }
        val stalled = monitored.filter { it.progress.stalledMillis(now) > stallLimitMillis(it) }
        if (stalled.isNotEmpty()) handleStalledRuns(worker, stalled, now)
        if (isSlow(monitored)) distrust(worker, "slow", now)
    }

    private fun stallLimitMillis(run: RunRecord): Long = maxOf(settings.stallMillis, expectedMillis(run) / STALL_DIVISOR)

    private fun expectedMillis(run: RunRecord): Long = durations.expectedMillis(run.queue, run.spec)

    private fun handleStalledRuns(
        worker: WorkerRecord,
        stalled: List<RunRecord>,
        now: Long,
    ) {
        distrust(worker, "stalled runs", now)
        stalled
            .filter { !it.stopWanted && (it.spec.checkpointing || expectedMillis(it) <= settings.maxRerunMillis) }
            .forEach {
                it.stopWanted = true
                val stalledFor = "stood=${it.progress.stalledMillis(now)}ms"
                effects.logEvent(
                    DispatchEvent.RUN_STALLED,
                    it.run.task.toString(),
                    "run=${it.run.number} worker=${worker.incarnation} $stalledFor",
                )
            }
    }

    /** Whether runs of several steps are much slower than runs of the same steps on other workers. */
    private fun isSlow(monitored: List<RunRecord>): Boolean {
        val logRatios =
            monitored
                .filter { it.progress.paceMillis > 0 }
                .groupBy { StepKey(it.run.task.job, it.run.task.step) }
                .mapNotNull { (step, localRuns) -> logPaceRatio(step, localRuns) }
        return logRatios.size >= MIN_STEPS && logRatios.average() > ln(SLOW_FACTOR)
    }

    private fun logPaceRatio(
        step: StepKey,
        localRuns: List<RunRecord>,
    ): Double? {
        val worker = localRuns.first().worker
        val compared =
            runs
                .ofStep(step)
                ?.records
                .orEmpty()
                .take(MAX_COMPARED_RUNS)
        val otherPaces = compared.filter { it.worker !== worker && it.progress.paceMillis > 0 }.map { it.progress.paceMillis }
        if (otherPaces.size < MIN_OTHER_RUNS) return null
        return ln(localRuns.map { it.progress.paceMillis }.average() / otherPaces.sorted()[otherPaces.size / 2])
    }

    private fun distrust(
        worker: WorkerRecord,
        reason: String,
        now: Long,
    ) {
        if (!worker.trust.isDistrusted(now)) {
            val detail = "why=$reason for=${settings.slowDistrustMillis}ms"
            effects.logEvent(DispatchEvent.WORKER_DISTRUSTED, worker.incarnation.toString(), detail)
        }
        worker.trust.distrust(now, until = now + settings.slowDistrustMillis)
    }

    private companion object {
        /** A run must make progress at least once per this fraction of its expected duration. */
        const val STALL_DIVISOR = 8
        const val MIN_STEPS = 2
        const val MIN_OTHER_RUNS = 2

        /** Runs of a step that are looked at for its usual pace; a step may have thousands. */
        const val MAX_COMPARED_RUNS = 300
        const val SLOW_FACTOR = 3.0
    }
}
