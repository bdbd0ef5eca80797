package rhubarbknot.core.model

import kotlinx.serialization.Serializable

/**
 * An amount of what executors offer and tasks need.
 *
 * @property milliCpus thousandths of a processor core.
 * @property memoryMb mebibytes.
 * @property accelerators whole devices.
 * @property slots calls an endpoint answers at the same time; 0 on workers.
 */
@Serializable
data class Resources(
    val milliCpus: Int = 0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
    val slots: Int = 0,
) {
    operator fun plus(other: Resources) =
        Resources(milliCpus + other.milliCpus, memoryMb + other.memoryMb, accelerators + other.accelerators, slots + other.slots)

    operator fun minus(other: Resources) =
        Resources(milliCpus - other.milliCpus, memoryMb - other.memoryMb, accelerators - other.accelerators, slots - other.slots)

    /** [times] as much. */
    operator fun times(times: Int) = Resources(milliCpus * times, memoryMb * times, accelerators * times, slots * times)

    /** Whether every amount is at most that of [room]. */
    fun fitsIn(room: Resources): Boolean =
        milliCpus <= room.milliCpus && memoryMb <= room.memoryMb && accelerators <= room.accelerators && slots <= room.slots

    /** The largest part of [whole] that this is in any dimension, in percent; dimensions that [whole] lacks don't count. */
    fun percentOf(whole: Resources): Long =
        listOf(
            milliCpus to whole.milliCpus,
            memoryMb to whole.memoryMb,
            accelerators to whole.accelerators,
            slots to whole.slots,
        ).filter { it.second > 0 }.maxOfOrNull { (used, of) -> PERCENT * used / of } ?: 0

    /** The larger of the two in each dimension. */
    fun max(other: Resources) =
        Resources(
            maxOf(milliCpus, other.milliCpus),
            maxOf(memoryMb, other.memoryMb),
            maxOf(accelerators, other.accelerators),
            maxOf(slots, other.slots),
        )

    /** The smaller of the two in each dimension. */
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

        /** What a call takes of an endpoint. */
        val ONE_SLOT = Resources(slots = 1)
    }
}
