package rhubarbknot.core.overload

/**
 * What a job still needs from its pool, and until when its result matters to its caller.
 *
 * @property priority priority of its queue; 0 is the highest.
 * @property objectiveAt time by which the result is worth its full value, in milliseconds.
 * @property uselessAfter time after which the result is worth nothing, in milliseconds.
 * @property remainingMillis length of the critical path that is left.
 * @property remainingCoreMillis room that the job still needs: cores times milliseconds over all of its tasks.
 * @property totalCoreMillis the same for the whole job, with what is done or running.
 * @property typicalCoreMillis mean of [totalCoreMillis] over the jobs of its queue.
 * @property failures highest number of failures of one of its waiting tasks.
 * @property crashes highest number of workers that crashed under one of its waiting tasks.
 * @property isBeyondShare whether its team submitted more than its share.
 * @property isLasting whether its tasks run until it is cancelled, so that they are worth as much at any time.
 * @property estimateFactor factor by which its durations, and the times that follow from them, may be estimated too low.
 */
data class PendingWork(
    val priority: Int,
    val objectiveAt: Long,
    val uselessAfter: Long,
    val remainingMillis: Long,
    val remainingCoreMillis: Long,
    val totalCoreMillis: Long = remainingCoreMillis,
    val typicalCoreMillis: Long = totalCoreMillis,
    val failures: Int = 0,
    val crashes: Int = 0,
    val isBeyondShare: Boolean = false,
    val isLasting: Boolean = false,
    val estimateFactor: Double = 1.0,
) {
    /** Latest start with which the job is expected to meet its objective. */
    val latestStart: Long get() = objectiveAt - remainingMillis

    /**
     * Its tier if it starts at [now]. Lasting work never becomes late: after hours it is worth as much as before. If it keeps failing, it
     * comes with what is late.
     */
    fun tier(now: Long): Tier =
        when {
            !isLasting && slackMillis(uselessAfter, now) < 0 -> Tier.TOO_LATE
            isBeyondShare -> Tier.BEYOND_SHARE
            if (isLasting) failures == 0 else slackMillis(objectiveAt, now) >= 0 -> Tier.ON_TIME
            else -> Tier.LATE
        }

    /**
     * Time from [now] after which it is too late to finish by [deadline], in milliseconds; below 0 if it is so already. Estimates are
     * rough, so only part of the estimate is assumed.
     */
    fun slackMillis(
        deadline: Long,
        now: Long,
    ): Long = deadline - now - remainingMillis * MIN_ESTIMATE_TENTHS / TENTHS

    private companion object {
        const val MIN_ESTIMATE_TENTHS = 7
        const val TENTHS = 10
    }
}
