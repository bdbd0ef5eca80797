package rhubarbknot.core.overload

/**
 * Capacity of a pool of workers, and the work that waits for it.
 *
 * @property capacityMilliCpus thousandths of a core of all workers that can be used now or within moments.
 * @property entitledMilliCpus sum of the ceilings of all teams; [Long.MAX_VALUE] if a team has none.
 * @property waitingCoreMillis cores times milliseconds of the accepted work that has not started, for each priority.
 * @property uselessCoreMillis the part of it that starts too late to matter to its callers, and so goes behind all other work.
 * @property lateCoreMillis the part that misses its objective, useless or not, and so goes behind the other work of its priority.
 * @property startedMilliCpus rate at which waiting work has lately been started, in thousandths of a core, for each priority. Low
 * priorities use room that is of no use to the work before them, so it tells more than the order.
 * @property lastingMilliCpus thousandths of a core of runs that go on until they are cancelled; other work can't count on them.
 */
data class PoolLoad(
    val capacityMilliCpus: Long,
    val entitledMilliCpus: Long,
    val waitingCoreMillis: Map<Int, Long>,
    val uselessCoreMillis: Map<Int, Long> = emptyMap(),
    val lastingMilliCpus: Long = 0,
    val lateCoreMillis: Map<Int, Long> = uselessCoreMillis,
    val startedMilliCpus: Map<Int, Long> = emptyMap(),
) {
    /** Whether the operators allow the teams more than the workers hold, so that the pool can be too small for work within all limits. */
    val isOversubscribed: Boolean get() = entitledMilliCpus > capacityMilliCpus

    /** Thousandths of a core that waiting work can get once the runs that end by themselves have ended. */
    val drainMilliCpus: Long get() = maxOf(0, capacityMilliCpus - lastingMilliCpus)

    /**
     * Time that the workers need for all waiting work that goes before a new job of [priority], in milliseconds; null without workers:
     * what can still matter of higher priorities, and what can still meet its objective of the same one.
     */
    fun drainMillis(priority: Int): Long? {
        if (drainMilliCpus <= 0) return null
        val higher = waitingCoreMillis.keys.filter { it < priority }.sumOf { without(uselessCoreMillis, it) }
        val byOrder = drainMillis(higher + without(lateCoreMillis, priority), drainMilliCpus)
        val startedMilliCpus = startedMilliCpus[priority] ?: 0
        return if (startedMilliCpus > 0) minOf(byOrder, drainMillis(without(lateCoreMillis, priority), startedMilliCpus)) else byOrder
    }

    private fun without(
        part: Map<Int, Long>,
        priority: Int,
    ): Long = (waitingCoreMillis[priority] ?: 0) - (part[priority] ?: 0)
}
