package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import java.util.BitSet

/**
 * Index of executors by free capacity, so that a search starts at the executors with just enough room for a task.
 *
 * Executors are grouped into buckets by free processors (or slots) and within them into levels by free memory. Each group
 * is a bit set over executor slots. The order of a search therefore depends only on the present free capacity and not on
 * the order of past changes, so that a replica restored from a snapshot makes the same decisions.
 */
internal class FreeCapacityIndex(
    private val kind: ExecutorKind,
) {
    /** Bit sets by bucket and level, created on first use. */
    private val slotsByGroup = arrayOfNulls<BitSet>(BUCKETS * LEVELS)

    /** For each bucket, a bit mask of the levels that have executors. */
    private val levelsByBucket = LongArray(BUCKETS)
    private val withAccelerators = BitSet()
    private var groupOf = IntArray(INITIAL_SLOTS) { ABSENT }

    /**
     * Resource needs that fitted on no executor, with the generation of that search. Only executors freed since then can
     * hold them. This affects only the duration of a search, never its result.
     */
    private val noFitGenerations = HashMap<Resources, Long>()
    private val recentlyFreed = arrayOfNulls<Executor>(FREED_HISTORY_SIZE)

    /** Number of times that capacity was freed. */
    var generation = 0L
        private set

    private fun bucket(amount: Resources): Int =
        when (kind) {
            ExecutorKind.WORKER -> minOf(BUCKETS - 1, amount.milliCpus / MILLI_CPUS_PER_BUCKET)
            ExecutorKind.ENDPOINT -> minOf(BUCKETS - 1, amount.slots)
        }

    /** Level of an amount of memory: four levels per doubling, so that few executors are searched in vain. */
    private fun level(amount: Resources): Int {
        val units = amount.memoryMb / SMALLEST_LEVEL_MB
        if (units < 1) return 0
        val doublings = Int.SIZE_BITS - 1 - units.countLeadingZeroBits()
        val quarter = if (doublings >= 2) units shr (doublings - 2) and 3 else units shl (2 - doublings) and 3
        return minOf(LEVELS - 1, 1 + 4 * doublings + quarter)
    }

    /** Adds [executor], or moves it to the group of its present free capacity. */
    fun put(executor: Executor) {
        val slot = executor.slot
        if (slot >= groupOf.size) groupOf = groupOf.copyOf(maxOf(slot + 1, groupOf.size * 2)).also { it.fill(ABSENT, groupOf.size) }
        val next = bucket(executor.free) * LEVELS + level(executor.free)
        val old = groupOf[slot]
        if (old != next) {
            if (old != ABSENT) removeFrom(slot, old)
            addTo(slot, next)
            groupOf[slot] = next
        }
        withAccelerators.set(slot, executor.free.accelerators > 0)
    }

    fun remove(executor: Executor) {
        val slot = executor.slot
        if (slot >= groupOf.size || groupOf[slot] == ABSENT) return
        removeFrom(slot, groupOf[slot])
        groupOf[slot] = ABSENT
        withAccelerators.clear(slot)
    }

    private fun addTo(
        slot: Int,
        group: Int,
    ) {
        val slots = slotsByGroup[group] ?: BitSet().also { slotsByGroup[group] = it }
        slots.set(slot)
        levelsByBucket[group / LEVELS] = levelsByBucket[group / LEVELS] or (1L shl group % LEVELS)
    }

    private fun removeFrom(
        slot: Int,
        group: Int,
    ) {
        val slots = checkNotNull(slotsByGroup[group])
        slots.clear(slot)
        if (slots.isEmpty) levelsByBucket[group / LEVELS] = levelsByBucket[group / LEVELS] and (1L shl group % LEVELS).inv()
    }

    /** Records that capacity of [executor] was freed. */
    fun noteFreed(executor: Executor) {
        recentlyFreed[(generation++ % FREED_HISTORY_SIZE).toInt()] = executor
    }

    /** Generation at which [need] fitted on no executor; null if that is not recorded or too long ago. */
    fun noFitGeneration(need: Resources): Long? = noFitGenerations[need]?.takeIf { generation - it <= FREED_HISTORY_SIZE }

    fun recordNoFit(need: Resources) {
        if (noFitGenerations.size >= MAX_NO_FIT_ENTRIES) noFitGenerations.clear()
        noFitGenerations[need] = generation
    }

    /** Discards the record for [need], which was made while capacity was taken that has been returned since. */
    fun forgetNoFit(need: Resources) {
        noFitGenerations.remove(need)
    }

    /** Calls [visit] for executors that were freed after generation [since] until it returns false. */
    fun freedSince(
        since: Long,
        visit: (Executor) -> Boolean,
    ) {
        var at = since
        while (at < generation) {
            val executor = recentlyFreed[(at++ % FREED_HISTORY_SIZE).toInt()]
            if (executor != null && !visit(executor)) return
        }
    }

    /** Whether the history still contains every executor freed after generation [since]. */
    fun recordsFreedSince(since: Long): Boolean = generation - since <= FREED_HISTORY_SIZE

    /** Calls [visit] for slots that may hold [need], tightest first, until it returns false. */
    fun tightestFirst(
        need: Resources,
        visit: (Int) -> Boolean,
    ) {
        if (need.accelerators > 0) {
            visitAll(withAccelerators, visit)
            return
        }
        val lowest = level(need)
        for (bucket in bucket(need) until BUCKETS) {
            var levels = levelsByBucket[bucket] and (-1L shl lowest)
            while (levels != 0L) {
                val level = levels.countTrailingZeroBits()
                if (!visitAll(checkNotNull(slotsByGroup[bucket * LEVELS + level]), visit)) return
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
            visitAll(withAccelerators, visit)
            return
        }
        val lowest = level(need)
        for (bucket in BUCKETS - 1 downTo bucket(need)) {
            var levels = levelsByBucket[bucket] and (-1L shl lowest)
            while (levels != 0L) {
                val level = Long.SIZE_BITS - 1 - levels.countLeadingZeroBits()
                if (!visitAll(checkNotNull(slotsByGroup[bucket * LEVELS + level]), visit)) return
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
        const val MAX_NO_FIT_ENTRIES = 8_192
        const val FREED_HISTORY_SIZE = 1_024
        const val ABSENT = -1
    }
}
