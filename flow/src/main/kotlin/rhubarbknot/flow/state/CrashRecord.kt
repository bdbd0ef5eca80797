package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerCrash

/**
 * Evidence that a task crashes the workers that run it.
 *
 * A crash ends all runs of a worker, most of which did not cause it. A run weighs more the shorter before the crash it was
 * started, and most if no other job started a run there at that time. A leader does not know whether its predecessor's last
 * starts were executed, so such a crash may not be the task's; it takes more of them to give the task up.
 *
 * @property crashes number of workers that have crashed while the task was known to run there.
 * @property unconfirmed number of workers that have crashed when the task may have been started there.
 * @property score weighted number of both.
 * @property lastRun latest run that was counted, so that a crash that is reported twice counts once.
 */
@Serializable
class CrashRecord(
    var crashes: Int = 0,
    var unconfirmed: Int = 0,
    var score: Int = 0,
    var lastRun: Int = 0,
) {
    /** Whether the task may crash its workers, so that its next start must be told apart from the starts of other jobs. */
    val isSuspect: Boolean get() = score >= SUSPECT_SCORE

    /** Whether the task is given up. */
    val isOverLimit: Boolean get() = (crashes >= MIN_CRASHES && score >= SCORE_LIMIT) || crashes + unconfirmed >= CRASH_LIMIT

    /** Counts [crash], which ended [run]; does nothing if that run was counted before. */
    fun add(
        crash: WorkerCrash,
        run: RunId,
    ) {
        if (run.number <= lastRun) return
        lastRun = run.number
        if (run in crash.unconfirmed) unconfirmed++ else crashes++
        score += weight(crash, run)
    }

    private fun weight(
        crash: WorkerCrash,
        run: RunId,
    ): Int =
        when {
            run !in crash.starting -> PRESENT_WEIGHT
            crash.hasSoleStarter -> SOLE_STARTER_WEIGHT
            else -> STARTER_WEIGHT
        }

    private companion object {
        /** Of a run whose start the worker had survived, or that may not have been started. */
        const val PRESENT_WEIGHT = 1
        const val STARTER_WEIGHT = 2
        const val SOLE_STARTER_WEIGHT = 3
        const val SUSPECT_SCORE = 2

        /** Reached by two crashes at the start, one of them as the sole starter, or by five crashes of any kind. */
        const val SCORE_LIMIT = 5
        const val MIN_CRASHES = 2

        /** Crashes, known to be under the task or not, after which it is given up whatever its score. */
        const val CRASH_LIMIT = 5
    }
}
