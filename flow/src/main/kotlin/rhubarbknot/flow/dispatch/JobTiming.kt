package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.state.Job

/** How much a job can still be worth to its caller. */
internal enum class Tier {
    /** It can end within its objective. */
    ON_TIME,

    /** It can only end late, and is worth less. */
    LATE,

    /** Its team sent more than its share. */
    BEYOND_SHARE,

    /** It is so late that it is of no more use; it was accepted, so it runs once there is room. */
    TOO_LATE,
}

/**
 * The objective of a job and how long its steps probably take.
 *
 * @property objectiveAt when it should be over.
 * @property worthlessAt when it is of no more use.
 */
internal class JobTiming private constructor(
    val objectiveAt: Long,
    val worthlessAt: Long,
    private val chainFrom: LongArray,
) {
    private val readyAt = LongArray(chainFrom.size)

    /** When step [index] was first found to be ready; [now] if it is the first time. */
    fun readyAt(
        index: Int,
        now: Long,
    ): Long {
        if (readyAt[index] == 0L) readyAt[index] = now
        return readyAt[index]
    }

    /** When step [index] must start at the latest for the job to be over by its objective. */
    fun latestStart(index: Int): Long = objectiveAt - chainFrom[index]

    /** What the job can still be worth if step [index] starts at [now]. Estimates are rough, so it has the benefit of the doubt. */
    fun tier(
        index: Int,
        now: Long,
    ): Tier {
        val least = chainFrom[index] * LEAST_PART_OF_ESTIMATE / WHOLE
        return when {
            now + least <= objectiveAt -> Tier.ON_TIME
            now + least <= worthlessAt -> Tier.LATE
            else -> Tier.TOO_LATE
        }
    }

    companion object {
        private const val LEAST_PART_OF_ESTIMATE = 7
        private const val WHOLE = 10

        /** A job is late up to this many times its objective. */
        private const val LATE_FACTOR = 3
        private const val WORKERS_PER_QUESTION = 30

        /** Timing of [job] on [queue], by what [times] has learned. */
        fun of(
            job: Job,
            queue: Queue,
            times: RunDurationEstimator,
        ): JobTiming {
            val steps = job.request.steps
            val question = queue.eligibility?.let { (it.decideMillis + it.perWorkerMillis * WORKERS_PER_QUESTION).toLong() } ?: 0
            val chainFrom = LongArray(steps.size)
            for (i in steps.indices.reversed()) {
                val next = steps.indices.filter { i in steps[it].after }.maxOfOrNull { chainFrom[it] } ?: 0
                chainFrom[i] = question + times.expectedMillis(queue.name, steps[i]) + next
            }
            val allowed = (queue.slackFactor * (chainFrom.maxOrNull() ?: 0)).toLong() + queue.targetMillis
            return JobTiming(job.acceptedAtMillis + allowed, job.acceptedAtMillis + LATE_FACTOR * allowed, chainFrom)
        }
    }
}
