package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.StepSpec

/**
 * Free resources of each worker of a pool during one turn of a plan.
 *
 * @param reservations what earlier steps of the plan have reserved.
 */
internal class FreeCapacity(
    val workers: List<WorkerRecord>,
    private val reservations: Reservations,
    now: Long,
) {
    private val free = LinkedHashMap<WorkerRecord, Resources>(workers.size * 2)
    private val startsLeft = HashMap<WorkerRecord, Int>()

    /** Which starts must not share a worker. */
    val isolation = StartIsolation(reservations.heldFor)

    /** CPU that may be reserved for gangs, in thousandths of a core. */
    private val reservableMilliCpus = workers.sumOf { it.capacity.milliCpus.toLong() } * MAX_RESERVED_PERCENT / WHOLE_PERCENT

    init {
        workers.forEach { worker ->
            free[worker] = reservations.resources[worker]?.let { worker.free - it } ?: worker.free
            worker.trust
                .startsAllowed(worker, now)
                .takeIf { it < Int.MAX_VALUE }
                ?.let { startsLeft[worker] = it }
        }
    }

    /** Resources on [worker] that are neither used nor reserved; below 0 where a reservation waits for runs to end. */
    fun of(worker: WorkerRecord): Resources = free.getValue(worker)

    /** How many more runs may be started on [worker], regardless of its free resources. */
    fun startsLeft(worker: WorkerRecord): Int = startsLeft[worker] ?: Int.MAX_VALUE

    /** Subtracts a run with [demand] from the free resources of [worker]. */
    fun allocate(
        worker: WorkerRecord,
        demand: Resources,
    ) {
        free[worker] = of(worker) - demand
        startsLeft.computeIfPresent(worker) { _, count -> count - 1 }
    }

    /**
     * Reserves resources for every task of [gang] on the [allowed] workers with the most free CPU, even if the resources
     * are still in use. Does nothing when the workers can't hold the gang or the limit on reservations would be exceeded.
     */
    fun reserve(
        allowed: List<WorkerRecord>,
        gang: StepSpec,
    ) {
        val milliCpus = gang.demand.milliCpus.toLong() * gang.count
        // The first gang may exceed the limit; otherwise a large gang would wait forever.
        if (reservations.milliCpus > 0 && reservations.milliCpus + milliCpus > reservableMilliCpus) return
        val remaining = LinkedHashMap<WorkerRecord, Resources>()
        val total = HashMap<WorkerRecord, Resources>()
        allowed.forEach {
            remaining[it] = of(it)
            total[it] = it.capacity
        }
        val targets = ArrayList<WorkerRecord>(gang.count)
        repeat(gang.count) {
            val target = remaining.keys.filter { gang.demand.fitsIn(total.getValue(it)) }.maxByOrNull { remaining.getValue(it).milliCpus }
            if (target == null) return
            remaining[target] = remaining.getValue(target) - gang.demand
            total[target] = total.getValue(target) - gang.demand
            targets += target
        }
        reservations.milliCpus += milliCpus
        targets.forEach {
            free[it] = of(it) - gang.demand
            reservations.resources.merge(it, gang.demand, Resources::plus)
        }
    }

    private companion object {
        const val MAX_RESERVED_PERCENT = 40
        const val WHOLE_PERCENT = 100
    }
}
