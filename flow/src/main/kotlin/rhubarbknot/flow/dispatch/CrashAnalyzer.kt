package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.WorkerCrash

/** Finds the runs that may have caused the crash of a worker, from what the worker had confirmed before. */
internal object CrashAnalyzer {
    /** A lasting run that was older than this did not cause the crash of its worker; hosts fail now and then under any service. */
    private const val MAX_LASTING_AGE_MILLIS = 10_000L

    /** The crash of [worker] at about [now], or null if the worker was leaving or had no run that could have caused it. */
    fun crashOf(
        worker: WorkerRecord,
        now: Long,
    ): WorkerCrash? {
        if (worker.leftAt != Long.MAX_VALUE || worker.report?.draining == true) return null
        val present = worker.runs.values.filter { it.mayBePresent && !it.ending && mayCauseCrash(it, now) }
        val (starting, running) = present.partition { !it.survivedStart }
        val (confirmed, unconfirmed) = starting.partition { it.stage == RunStage.RUNNING }
        val crash = WorkerCrash(confirmed.map { it.run }, unconfirmed.map { it.run }, running.map { it.run })
        return (worker.suspectedCrash?.let { crash + it } ?: crash).takeUnless { it.isEmpty }
    }

    private fun mayCauseCrash(
        run: RunRecord,
        now: Long,
    ): Boolean = !run.spec.lasting || !run.survivedStart || now - run.confirmedAt <= MAX_LASTING_AGE_MILLIS
}
