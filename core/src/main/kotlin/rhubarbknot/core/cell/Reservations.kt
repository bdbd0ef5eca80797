package rhubarbknot.core.cell

/**
 * Reserves executors for jobs that have waited long and are too large for capacity that is freed piecemeal. Only one gang
 * holds reservations at a time, so that two partly placed gangs can't block each other. Short tasks are backfilled.
 */
internal class Reservations(
    private val index: CellIndex,
    private val estimates: Estimates,
) {
    private val now get() = index.state.now

    /**
     * Whether [job] is a gang or has large tasks. Small tasks fit into capacity that is freed piecemeal, so reserving
     * executors for them would only waste capacity.
     */
    fun isWorthwhile(job: Job): Boolean {
        if (job.spec.gang) return true
        val need = job.spec.need
        val largest = index.largest(job.kind)
        return need.milliCpus * LARGE_TASK_DIVISOR >= largest.milliCpus ||
            need.memoryMb * LARGE_TASK_DIVISOR >= largest.memoryMb ||
            need.accelerators > 0
    }

    fun reserve(job: Job) {
        if (job in index.reserved) return
        if (job.spec.gang && index.reserved.keys.any { it.spec.gang }) return
        val limit = maxOf(1, index.state.executors.size / MAX_RESERVED_DIVISOR)
        val reservedCount =
            index.reserved
                .filterKeys { !it.spec.gang }
                .values
                .sumOf { it.size }
        if (!job.spec.gang && reservedCount >= limit) return
        choose(job).forEach { index.reserve(job, it) }
    }

    private fun choose(job: Job): List<Executor> {
        val need = job.spec.need
        val eligible =
            index.state.executors.values
                .filter { it.info.kind == job.kind && it.takesWork && it.reservedFor == null && need.fitsIn(it.info.capacity) }
                .sortedWith(compareBy({ -freeFraction(it) }, { it.slot }))
        val chosen = ArrayList<Executor>()
        var unplaced = if (job.spec.gang) job.pending else 1
        for (executor in eligible) {
            if (unplaced <= 0) break
            chosen.add(executor)
            unplaced -= Fit.taskCapacity(executor.info.capacity, job.spec.need)
        }
        return if (unplaced <= 0) chosen else emptyList()
    }

    private fun freeFraction(executor: Executor): Double {
        val cpu = executor.free.milliCpus.toDouble() / maxOf(1, executor.info.capacity.milliCpus)
        val memory = executor.free.memoryMb.toDouble() / maxOf(1, executor.info.capacity.memoryMb)
        return minOf(cpu, memory)
    }

    /** Returns a reserved executor where [job] is estimated to end before the holder of the reservation can start. */
    fun backfill(job: Job): Executor? {
        if (index.reserved.isEmpty() || job in index.reserved) return null
        val estimate = estimates.runMillis(job)
        if (estimate <= 0) return null
        for ((holder, executors) in index.reserved) {
            if (holder.kind != job.kind || holder.spec.urgent) continue
            val fitting = executors.firstOrNull { it.takesWork && job.spec.need.fitsIn(it.free) } ?: continue
            if (now + estimate <= expectedStart(executors)) return fitting
        }
        return null
    }

    private fun expectedStart(executors: Collection<Executor>): Long = executors.maxOf { if (it.running.isEmpty()) now else it.busyUntil }

    private companion object {
        /** A task is large if it needs at least this fraction (1/n) of the largest executor. */
        const val LARGE_TASK_DIVISOR = 4

        /** Reservations of single tasks take at most this fraction (1/n) of the executors. */
        const val MAX_RESERVED_DIVISOR = 20
    }
}
