package rhubarbknot.flow.dispatch

/**
 * Bounds how many workers may be limited at once because of their records: a third of a pool, and of the workers with each label, but one
 * in any case. When more of them look faulty, the work that they run is the likelier cause, and limits would only keep other work from
 * them. The limits that rest on the oldest evidence are lifted first.
 */
internal class LimitBound(
    private val effects: EffectBuffer,
) {
    private var lifted = emptyList<WorkerRecord>()
    private var dueAt = Long.MIN_VALUE

    /** Lifts the limits of those of [workers] that are beyond the bound at [now]; does nothing if it was called shortly before. */
    fun update(
        now: Long,
        workers: () -> List<WorkerRecord>,
    ) {
        if (now < dueAt) return
        dueAt = now + PERIOD_MILLIS
        val all = workers()
        val limited = all.filter { it.trust.isLimited(now) }.sortedWith(latestEvidenceFirst)
        val before = lifted
        lifted = if (limited.isEmpty()) emptyList() else beyondBound(limited, sizesOf(all))
        if (lifted == before) return
        before.forEach { it.trust.isLifted = false }
        lifted.forEach { it.trust.isLifted = true }
        val names = lifted.joinToString(",", limit = MAX_LOGGED_WORKERS) { it.incarnation.toString() }
        effects.logEvent(DispatchEvent.LIMITS_LIFTED, "workers", "limited=${limited.size} lifted=${lifted.size} of=${all.size} $names")
    }

    private fun sizesOf(workers: List<WorkerRecord>): GroupCounts {
        val sizes = GroupCounts()
        workers.forEach { sizes.add(it) }
        return sizes
    }

    private fun beyondBound(
        limited: List<WorkerRecord>,
        sizes: GroupCounts,
    ): List<WorkerRecord> {
        val counts = GroupCounts()
        return limited.filter { worker ->
            val isBeyond = groupsOf(worker).any { counts.of(worker, it) >= maxOf(1, sizes.of(worker, it) / BOUND_DIVISOR) }
            if (!isBeyond) counts.add(worker)
            isBeyond
        }
    }

    /** Numbers of workers by pool and label; the empty label stands for the whole pool. */
    private class GroupCounts {
        private val byPool = HashMap<String, HashMap<String, Int>>()

        fun add(worker: WorkerRecord) {
            val byLabel = byPool.getOrPut(worker.report?.pool.orEmpty()) { HashMap() }
            groupsOf(worker).forEach { byLabel.merge(it, 1, Int::plus) }
        }

        fun of(
            worker: WorkerRecord,
            label: String,
        ): Int = byPool[worker.report?.pool.orEmpty()]?.get(label) ?: 0
    }

    private companion object {
        /** With a third of the workers limited, work that needs half of a pool still finds room. */
        const val BOUND_DIVISOR = 3

        /** The workers are counted each time, so that it is not done with each plan. */
        const val PERIOD_MILLIS = 500L
        const val MAX_LOGGED_WORKERS = 20

        fun groupsOf(worker: WorkerRecord): List<String> = worker.report?.labels.orEmpty() + WHOLE_POOL

        const val WHOLE_POOL = ""
        val latestEvidenceFirst = compareByDescending<WorkerRecord> { it.trust.limitedUntil }.thenBy { it.incarnation.id }
    }
}
