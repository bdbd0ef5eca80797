package rhubarbknot.core.overload

import kotlin.math.exp
import kotlin.math.pow

/**
 * The order for a pool with more work than it can serve in time: first what loses most value by waiting on, for the room that it takes.
 *
 * Waiting costs a caller the value of a deadline that is missed meanwhile. How likely that is follows from the slack and from how long
 * work that is passed over waits. Urgent queues go first, in the order by priority. What can be on time goes before what is late already,
 * that before work beyond a team's share, and work without remaining value comes last.
 *
 * @param delayMillis how long work that is passed over waits for its next chance.
 */
class DelayCostOrder(
    private val delayMillis: Long,
) : WaitingOrder {
    init {
        require(delayMillis > 0) { "delay of $delayMillis ms" }
    }

    override fun rank(
        work: PendingWork,
        now: Long,
    ): WorkRank {
        if (work.priority == URGENT_PRIORITY) return PriorityOrder.rank(work, now)
        val tier = work.tier(now)
        return WorkRank(
            if (tier >= Tier.BEYOND_SHARE) 1.0 else 0.0,
            NOT_URGENT,
            tier.ordinal.toDouble(),
            -costPerCoreMilli(work, now),
            work.latestStart.toDouble(),
        )
    }

    /** Value that is lost if [work] is passed over at [now], for each core-millisecond of the room that it still needs. */
    fun costPerCoreMilli(
        work: PendingWork,
        now: Long,
    ): Double = value(work) * lossOfDelay(work, now) / maxOf(1, work.remainingCoreMillis)

    /** What the result is worth, in core-milliseconds of work of priority 0. */
    private fun value(work: PendingWork): Double {
        val size = SHARE_OF_EACH_JOB * work.typicalCoreMillis + (1 - SHARE_OF_EACH_JOB) * work.totalCoreMillis
        return size * PRIORITY_FACTOR.pow(work.priority) * RETRY_FACTOR.pow(work.failures + work.crashes)
    }

    /** Share of the value that a delay is expected to destroy. */
    private fun lossOfDelay(
        work: PendingWork,
        now: Long,
    ): Double {
        if (work.isLasting) return 1.0
        val untilObjective = work.slackMillis(work.objectiveAt, now)
        val untilUseless = work.slackMillis(work.uselessAfter, now)
        return (1 - LATE_VALUE) * missProbability(untilObjective) + LATE_VALUE * missProbability(untilUseless)
    }

    /** Probability that a delay exceeds [slackMillis]; 0 if the deadline is missed already, as then the delay costs nothing more. */
    private fun missProbability(slackMillis: Long): Double = if (slackMillis < 0) 0.0 else exp(-slackMillis.toDouble() / delayMillis)

    private companion object {
        /** Urgent queues go first, as their teams were promised, whatever others lose by it. */
        const val URGENT_PRIORITY = 0

        /** Behind the urgent queues, which [PriorityOrder] ranks by their priority in the same place. */
        const val NOT_URGENT = 1.0

        /** Part of a job's value that doesn't grow with its size: the answer itself. */
        const val SHARE_OF_EACH_JOB = 0.5

        /** Part of the value that a result after its objective still has. */
        const val LATE_VALUE = 0.2

        /** Value of the same work at the next lower priority. */
        const val PRIORITY_FACTOR = 0.5

        /** A task that failed is likely to fail again, and then the room is lost. */
        const val RETRY_FACTOR = 0.5
    }
}
