package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import java.util.BitSet

/**
 * Executors by free capacity, so that a search starts at those that can just hold a task.
 *
 * Buckets go by free processors (or slots), levels within them by free memory. Each is a bit set over executor slots: the order of a search depends only on what is free where, never on
 * the order of past changes, and a replica restored from a snapshot decides the same.
 */
internal class FreeCapacityIndex(
    private val kind: ExecutorKind,
) {
    /** Bit sets by bucket and level, made when first needed. */
    private val slotsOf = arrayOfNulls<BitSet>(BUCKETS * LEVELS)

    /** For each bucket, which levels have executors: bit n stands for level n. */
    private val levelsOf = LongArray(BUCKETS)
    private val accelerated = BitSet()
    private var placeOf = IntArray(INITIAL_SLOTS) { ABSENT }

    /**
     * Needs that fitted nowhere, with the generation at which that was found. Since then only executors that were
     * freed later can hold them. It changes how long a search takes and never its result.
     */
    private val misfits = HashMap<Resources, Long>()
    private val freed = arrayOfNulls<Executor>(FREED_KEPT)

    /** Counts how often capacity came free. */
    var generation = 0L
        private set

    private fun bucket(amount: Resources): Int =
        when (kind) {
            ExecutorKind.WORKER -> minOf(BUCKETS - 1, amount.milliCpus / MILLI_CPUS_PER_BUCKET)
            ExecutorKind.ENDPOINT -> minOf(BUCKETS - 1, amount.slots)
        }

    /** Level of an amount of memory: four to each doubling, so that what is searched in vain stays small. */
    private fun level(amount: Resources): Int {
        val units = amount.memoryMb / SMALLEST_LEVEL_MB
        if (units < 1) return 0
        val doublings = Int.SIZE_BITS - 1 - units.countLeadingZeroBits()
        val quarter = if (doublings >= 2) units shr (doublings - 2) and 3 else units shl (2 - doublings) and 3
        return minOf(LEVELS - 1, 1 + 4 * doublings + quarter)
    }

    /** Enters [executor], or moves it to where its free capacity belongs. */
    fun put(executor: Executor) {
        val slot = executor.slot
        if (slot >= placeOf.size) placeOf = placeOf.copyOf(maxOf(slot + 1, placeOf.size * 2)).also { it.fill(ABSENT, placeOf.size) }
        val next = bucket(executor.free) * LEVELS + level(executor.free)
        val old = placeOf[slot]
        if (old != next) {
            if (old != ABSENT) leave(slot, old)
            enter(slot, next)
            placeOf[slot] = next
        }
        accelerated.set(slot, executor.free.accelerators > 0)
    }

    fun remove(executor: Executor) {
        val slot = executor.slot
        if (slot >= placeOf.size || placeOf[slot] == ABSENT) return
        leave(slot, placeOf[slot])
        placeOf[slot] = ABSENT
        accelerated.clear(slot)
    }

    private fun enter(
        slot: Int,
        place: Int,
    ) {
        val slots = slotsOf[place] ?: BitSet().also { slotsOf[place] = it }
        slots.set(slot)
        levelsOf[place / LEVELS] = levelsOf[place / LEVELS] or (1L shl place % LEVELS)
    }

    private fun leave(
        slot: Int,
        place: Int,
    ) {
        val slots = checkNotNull(slotsOf[place])
        slots.clear(slot)
        if (slots.isEmpty) levelsOf[place / LEVELS] = levelsOf[place / LEVELS] and (1L shl place % LEVELS).inv()
    }

    /** Notes that [executor] has more room than before. */
    fun noteFreed(executor: Executor) {
        freed[(generation++ % FREED_KEPT).toInt()] = executor
    }

    /** At which generation [need] was found to fit nowhere; null when that is not known. */
    fun misfitSince(need: Resources): Long? = misfits[need]?.takeIf { generation - it <= FREED_KEPT }

    fun rememberMisfit(need: Resources) {
        if (misfits.size >= MAX_MISFITS) misfits.clear()
        misfits[need] = generation
    }

    /** What is known of [need] was found while capacity was taken that has been given back since. */
    fun forgetMisfit(need: Resources) {
        misfits.remove(need)
    }

    /** Calls [visit] for executors that were freed after generation [since] until it returns false. */
    fun freedSince(
        since: Long,
        visit: (Executor) -> Boolean,
    ) {
        var at = since
        while (at < generation) {
            val executor = freed[(at++ % FREED_KEPT).toInt()]
            if (executor != null && !visit(executor)) return
        }
    }

    /** Whether every executor freed after [since] is still remembered. */
    fun remembers(since: Long): Boolean = generation - since <= FREED_KEPT

    /** Calls [visit] for slots that may hold [need], tightest first, until it returns false. */
    fun tightestFirst(
        need: Resources,
        visit: (Int) -> Boolean,
    ) {
        if (need.accelerators > 0) {
            visitAll(accelerated, visit)
            return
        }
        val lowest = level(need)
        for (bucket in bucket(need) until BUCKETS) {
            var levels = levelsOf[bucket] and (-1L shl lowest)
            while (levels != 0L) {
                val level = levels.countTrailingZeroBits()
                if (!visitAll(checkNotNull(slotsOf[bucket * LEVELS + level]), visit)) return
                levels = levels and (levels - 1)
            }
        }
    }

    /** Calls [visit] for slots that may hold [need], emptiest first, until it returns false. */
    fun emptiestFirst(
        need: Resources,
        visit: (Int) -> Boolean,
    ) {
        if (need.accelerators > 0) {
            visitAll(accelerated, visit)
            return
        }
        val lowest = level(need)
        for (bucket in BUCKETS - 1 downTo bucket(need)) {
            var levels = levelsOf[bucket] and (-1L shl lowest)
            while (levels != 0L) {
                val level = Long.SIZE_BITS - 1 - levels.countLeadingZeroBits()
                if (!visitAll(checkNotNull(slotsOf[bucket * LEVELS + level]), visit)) return
                levels = levels and (1L shl level).inv()
            }
        }
    }

    private fun visitAll(
        slots: BitSet,
        visit: (Int) -> Boolean,
    ): Boolean {
        var slot = slots.nextSetBit(0)
        while (slot >= 0) {
            if (!visit(slot)) return false
            slot = slots.nextSetBit(slot + 1)
        }
        return true
    }

    private companion object {
        const val BUCKETS = 257
        const val LEVELS = 56
        const val SMALLEST_LEVEL_MB = 64
        const val MILLI_CPUS_PER_BUCKET = 500
        const val INITIAL_SLOTS = 64
        const val MAX_MISFITS = 8_192
        const val FREED_KEPT = 1_024
        const val ABSENT = -1
    }
}
