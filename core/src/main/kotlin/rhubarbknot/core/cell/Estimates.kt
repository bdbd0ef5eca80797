package rhubarbknot.core.cell

import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId

/**
 * Estimates run times and sizes from those recorded by team and queue. Declared run times are inaccurate, so they are used
 * only until enough tasks have ended. Estimates serve for ordering, packing, backfilling and reporting; they never
 * increase the capacity of an executor.
 */
internal class Estimates(
    runTimes: Map<String, ByteArray>,
    sizes: Map<String, ByteArray>,
) {
    private val runTimeMillis = QueueHistograms(runTimes, MAX_RUN_TIME_MILLIS)
    private val sizePercent = QueueHistograms(sizes, MAX_PERCENT)

    fun recordRunTime(
        job: Job,
        durationMillis: Long,
    ) = runTimeMillis.record(job, durationMillis)

    /** Records [used], the present resource usage of a task of [job]. */
    fun recordUsage(
        job: Job,
        used: Resources,
    ) = sizePercent.record(job, used.percentOf(job.spec.need))

    /** Estimated run time of a task of [job]: the 90th percentile of its queue, else the declared one; 0 if there is neither. */
    fun runMillis(job: Job): Long = runTimeMillis.percentile90(job.id.team, job.queue) ?: job.spec.expectedRunMillis

    /** By queue of [team], the 90th percentile of used resources in percent of the declared ones. */
    fun usedPercent(team: TeamId): Map<QueueId, Long> = sizePercent.percentile90ByQueue(team)

    fun encodeRunTimes(): Map<String, ByteArray> = runTimeMillis.encode()

    fun encodeSizes(): Map<String, ByteArray> = sizePercent.encode()

    private companion object {
        const val MAX_RUN_TIME_MILLIS = 7L * 24 * 3_600_000
        const val MAX_PERCENT = 10_000L
    }
}
