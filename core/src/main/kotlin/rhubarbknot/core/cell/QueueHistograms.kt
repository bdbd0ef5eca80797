package rhubarbknot.core.cell

import org.HdrHistogram.Histogram
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId
import java.nio.ByteBuffer

/** One histogram for each queue of each team. */
internal class QueueHistograms(
    encoded: Map<String, ByteArray>,
    private val maxValue: Long,
) {
    private val byQueue = LinkedHashMap<String, Histogram>()

    init {
        encoded.forEach { (key, bytes) -> byQueue[key] = Histogram.decodeFromByteBuffer(ByteBuffer.wrap(bytes), maxValue) }
    }

    private fun key(
        team: TeamId,
        queue: QueueId,
    ): String = "${team.name}/${queue.name}"

    fun record(
        job: Job,
        value: Long,
    ) {
        byQueue.getOrPut(key(job.id.team, job.queue)) { Histogram(maxValue, SIGNIFICANT_DIGITS) }.recordValue(value.coerceIn(0, maxValue))
    }

    /** 90th percentile of the values recorded for [queue] of [team]; null below [MIN_SAMPLES] values. */
    fun percentile90(
        team: TeamId,
        queue: QueueId,
    ): Long? = byQueue[key(team, queue)]?.takeIf { it.totalCount >= MIN_SAMPLES }?.getValueAtPercentile(PERCENTILE)

    /** 90th percentile by queue of [team], for the queues that have enough values. */
    fun percentile90ByQueue(team: TeamId): Map<QueueId, Long> =
        byQueue.keys
            .filter { it.startsWith("${team.name}/") }
            .map { QueueId(it.substringAfter('/')) }
            .mapNotNull { queue -> percentile90(team, queue)?.let { queue to it } }
            .toMap()

    fun encode(): Map<String, ByteArray> =
        byQueue.mapValues { (_, histogram) ->
            val buffer = ByteBuffer.allocate(histogram.neededByteBufferCapacity)
            val size = histogram.encodeIntoByteBuffer(buffer)
            buffer.array().copyOf(size)
        }

    private companion object {
        const val SIGNIFICANT_DIGITS = 1
        const val MIN_SAMPLES = 20
        const val PERCENTILE = 90.0
    }
}
