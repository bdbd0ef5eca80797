package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.PendingWork
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.state.Job

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

    /** Latest start of step [index] with which the job is expected to meet its objective; [Long.MAX_VALUE] for a lasting step. */
    fun latestStart(index: Int): Long = if (lasting[index]) Long.MAX_VALUE else objectiveAt - remainingMillis[index]

    /** Latest start of step [index] with which the job is expected to have any value; [Long.MAX_VALUE] for a lasting step. */
    fun latestUsefulStart(index: Int): Long = if (lasting[index]) Long.MAX_VALUE else uselessAfter - remainingMillis[index]

    /** Length of the job's critical path. */
    val pathMillis: Long get() = remainingMillis.maxOrNull() ?: 0

    /**
     * What [job] on [queue] needs from step [index] on, with [room] and [failures] of the step. A lasting step has value only while its
     * tasks run: it has no slack.
     */
    fun pendingWork(
        job: Job,
        queue: Queue,
        index: Int,
        room: RoomNeed,
        failures: Int,
        isBeyondShare: Boolean,
    ): PendingWork {
        val isLasting = lasting[index]
        return PendingWork(
            priority = queue.priority,
            objectiveAt = if (isLasting) readyAt[index] else objectiveAt,
            uselessAfter = if (isLasting) Long.MAX_VALUE else uselessAfter,
            remainingMillis = if (isLasting) 0 else remainingMillis[index],
            remainingCoreMillis = room.remainingCoreMillis,
            totalCoreMillis = room.totalCoreMillis,
            typicalCoreMillis = room.typicalCoreMillis,
            failures = failures,
            crashes = job.crashes(index),
            isBeyondShare = isBeyondShare,
            isLasting = isLasting,
        )
    }

    companion object {
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
            val remainingMillis = remainingMillis(steps) { eligibilityMillis + durations.expectedMillis(job.request.queue, it) }
            val stretchedMillis = (queue.slackFactor * (remainingMillis.maxOrNull() ?: 0)).toLong()
            val allowedMillis = minOf(stretchedMillis, MAX_ALLOWED_MILLIS) + minOf(queue.targetMillis, MAX_ALLOWED_MILLIS)
            return JobTiming(
                objectiveAt = job.acceptedAtMillis + allowedMillis,
                uselessAfter = job.acceptedAtMillis + LATE_FACTOR * allowedMillis,
                remainingMillis = remainingMillis,
                lasting = BooleanArray(steps.size) { steps[it].lasting },
            )
        }

        /** For each step, the length of the critical path from its start to the end of the job, in one pass over the dependencies. */
        private inline fun remainingMillis(
            steps: List<StepSpec>,
            durationMillis: (StepSpec) -> Long,
        ): LongArray {
            // A step comes after all steps that it depends on, so its own path is complete when it is reached from the end.
            val longestSuccessor = LongArray(steps.size)
            return LongArray(steps.size).also { remaining ->
                for (i in steps.indices.reversed()) {
                    remaining[i] = durationMillis(steps[i]) + longestSuccessor[i]
                    steps[i].after.forEach { longestSuccessor[it] = maxOf(longestSuccessor[it], remaining[i]) }
                }
            }
        }
    }
}
