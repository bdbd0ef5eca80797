package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason

/**
 * Wait reasons over time. At most [MAX_CHANGES] entries are kept: beyond that, the shortest interval is merged into the
 * one before it, so that the intervals of a wait still add up to its length.
 */
@Serializable
class ReasonTimeline {
    private val starts = ArrayList<Long>()
    private val reasons = ArrayList<WaitReason>()

    fun set(
        reason: WaitReason,
        at: Long,
    ) {
        if (reasons.lastOrNull() == reason) return
        if (starts.lastOrNull() == at) {
            reasons[reasons.lastIndex] = reason
            return
        }
        starts.add(at)
        reasons.add(reason)
        if (starts.size > MAX_CHANGES) mergeShortest()
    }

    private fun mergeShortest() {
        val shortest = (1 until starts.size - 1).minBy { starts[it + 1] - starts[it] }
        starts.removeAt(shortest)
        reasons.removeAt(shortest)
    }

    /** The reasons between [from] and [until] as contiguous intervals. */
    fun slice(
        from: Long,
        until: Long,
    ): List<WaitInterval> {
        val intervals = ArrayList<WaitInterval>()
        var at = from
        var i = starts.indexOfLast { it <= from }
        while (at < until) {
            val reason = if (i < 0) WaitReason.SCHEDULING else reasons[i]
            val end = minOf(until, if (i + 1 < starts.size) starts[i + 1] else until)
            if (end > at) intervals.add(WaitInterval(reason, at, end))
            at = maxOf(at, end)
            i++
        }
        return intervals
    }

    private companion object {
        const val MAX_CHANGES = 64
    }
}
