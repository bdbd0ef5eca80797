package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.state.Job

/** Scheduling class of a step by how much value its job can still have for its caller. */
internal enum class Tier {
    /** The job can finish within its objective. */
    ON_TIME,

    /** The job can only finish after its objective, with reduced value. */
    LATE,

    /** The team submitted more jobs than its share. */
    BEYOND_SHARE,

    /** The job is too late to have any value; it was accepted, so it still runs once capacity is free. */
    TOO_LATE,
}

/**
 * Completion objective of a job and the estimated duration of its remaining steps.
 *
 * @property objectiveAt time by which the job should finish.
 * @property uselessAfter time after which the result has no more value.
 */
internal class JobTiming private constructor(
    val objectiveAt: Long,
    val uselessAfter: Long,
    private val remainingMillis: LongArray,
    private val lasting: BooleanArray,
) {
    private val readyAt = LongArray(remainingMillis.size)

    /** When step [index] was first found ready; records [now] on the first call. */
    fun readyAt(
        index: Int,
        now: Long,
    ): Long {
        if (readyAt[index] == 0L) readyAt[index] = now
        return readyAt[index]
    }

    /**
     * Latest start of step [index] with which the job is expected to meet its objective. A lasting step has value only while
     * its tasks run, so it has no slack.
     */
    fun latestStart(index: Int): Long = if (lasting[index]) readyAt[index] else objectiveAt - remainingMillis[index]

    /**
     * Tier of the job if step [index] starts at [now]. Estimates are rough, so only part of the estimate is assumed. A lasting
     * step never becomes too late: a task that lost its worker after hours is as valuable as before.
     */
    fun tier(
        index: Int,
        now: Long,
    ): Tier {
        if (lasting[index]) return Tier.ON_TIME
        val minRemainingMillis = remainingMillis[index] * MIN_ESTIMATE_TENTHS / TENTHS
        return when {
            now + minRemainingMillis <= objectiveAt -> Tier.ON_TIME
            now + minRemainingMillis <= uselessAfter -> Tier.LATE
            else -> Tier.TOO_LATE
        }
    }

    companion object {
        private const val MIN_ESTIMATE_TENTHS = 7
        private const val TENTHS = 10

        /** A job counts as late, not useless, up to this multiple of its allowed time. */
        private const val LATE_FACTOR = 3
        private const val WORKERS_PER_REQUEST = 30

        /** A thousand years; times that are computed from it must not overflow. */
        private const val MAX_ALLOWED_MILLIS = 366_000L * 24 * 3_600_000

        /** Computes the timing of [job] on [queue] from the learned [durations]. */
        fun of(
            job: Job,
            queue: Queue,
            durations: RunDurationEstimator,
        ): JobTiming {
            val steps = job.request.steps
            val eligibilityMillis = queue.eligibility?.let { (it.decideMillis + it.perWorkerMillis * WORKERS_PER_REQUEST).toLong() } ?: 0
            val remainingMillis = LongArray(steps.size)
            for (i in steps.indices.reversed()) {
                val successorMillis = steps.indices.filter { i in steps[it].after }.maxOfOrNull { remainingMillis[it] } ?: 0
                remainingMillis[i] = eligibilityMillis + durations.expectedMillis(queue.name, steps[i]) + successorMillis
            }
            val stretchedMillis = (queue.slackFactor * (remainingMillis.maxOrNull() ?: 0)).toLong()
            val allowedMillis = minOf(stretchedMillis, MAX_ALLOWED_MILLIS) + minOf(queue.targetMillis, MAX_ALLOWED_MILLIS)
            return JobTiming(
                objectiveAt = job.acceptedAtMillis + allowedMillis,
                uselessAfter = job.acceptedAtMillis + LATE_FACTOR * allowedMillis,
                remainingMillis = remainingMillis,
                lasting = BooleanArray(steps.size) { steps[it].lasting },
            )
        }
    }
}
