package rhubarbknot.core.model

import kotlinx.serialization.Serializable

/**
 * A resource vector: the capacity of an executor or the request of a task.
 *
 * @property milliCpus thousandths of a CPU core.
 * @property memoryMb memory in MiB.
 * @property accelerators whole accelerator devices.
 * @property slots number of calls an endpoint handles concurrently; 0 on workers.
 */
@Serializable
data class Resources(
    val milliCpus: Int = 0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
    val slots: Int = 0,
) {
    /** Sum in every dimension, at most [Int.MAX_VALUE], so that a sum never looks smaller than its parts. */
    operator fun plus(other: Resources) =
        Resources(
            sum(milliCpus, other.milliCpus),
            sum(memoryMb, other.memoryMb),
            sum(accelerators, other.accelerators),
            sum(slots, other.slots),
        )

    operator fun minus(other: Resources) =
        Resources(milliCpus - other.milliCpus, memoryMb - other.memoryMb, accelerators - other.accelerators, slots - other.slots)

    /** Multiplies every dimension by [factor]; at most [Int.MAX_VALUE]. */
    operator fun times(factor: Int) =
        Resources(
            bounded(milliCpus.toLong() * factor),
            bounded(memoryMb.toLong() * factor),
            bounded(accelerators.toLong() * factor),
            bounded(slots.toLong() * factor),
        )

    private fun sum(
        a: Int,
        b: Int,
    ): Int = bounded(a.toLong() + b)

    private fun bounded(value: Long): Int = value.coerceIn(Int.MIN_VALUE.toLong(), Int.MAX_VALUE.toLong()).toInt()

    /** Whether this does not exceed [available] in any dimension. */
    fun fitsIn(available: Resources): Boolean =
        milliCpus <= available.milliCpus &&
            memoryMb <= available.memoryMb &&
            accelerators <= available.accelerators &&
            slots <= available.slots

    /**
     * This vector's dominant share of [total], in percent: the maximum over all dimensions, ignoring those in which
     * [total] is 0.
     */
    fun percentOf(total: Resources): Long =
        listOf(
            milliCpus to total.milliCpus,
            memoryMb to total.memoryMb,
            accelerators to total.accelerators,
            slots to total.slots,
        ).filter { it.second > 0 }.maxOfOrNull { (used, capacity) -> PERCENT * used / capacity } ?: 0

    /** Element-wise maximum. */
    fun max(other: Resources) =
        Resources(
            maxOf(milliCpus, other.milliCpus),
            maxOf(memoryMb, other.memoryMb),
            maxOf(accelerators, other.accelerators),
            maxOf(slots, other.slots),
        )

    /** Element-wise minimum. */
    fun min(other: Resources) =
        Resources(
            minOf(milliCpus, other.milliCpus),
            minOf(memoryMb, other.memoryMb),
            minOf(accelerators, other.accelerators),
            minOf(slots, other.slots),
        )

    companion object {
        val NONE = Resources()
        private const val PERCENT = 100L

        /** Resource request of a call. */
        val ONE_SLOT = Resources(slots = 1)
    }
}
