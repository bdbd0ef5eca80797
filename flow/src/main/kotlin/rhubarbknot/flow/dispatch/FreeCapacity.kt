package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.StepSpec

/** What is free on each worker of a pool while a plan is being made. */
internal class FreeCapacity(
    val workers: List<WorkerRecord>,
    now: Long,
) {
    private val free = HashMap<WorkerRecord, Resources>(workers.size * 2)
    private val startsLeft = HashMap<WorkerRecord, Int>()
    private var reserved = false

    /** Processors that gangs may still have kept for them. */
    private var reservableMilliCpus = workers.sumOf { it.room.milliCpus.toLong() } * MOST_RESERVED_PERCENT / WHOLE_PERCENT

    init {
        workers.forEach { worker ->
            free[worker] = worker.free
            worker.trust
                .startsAllowed(worker, now)
                .takeIf { it < Int.MAX_VALUE }
                ?.let { startsLeft[worker] = it }
        }
    }

    /** What is free on [worker] and not kept for another step; an amount below 0 is still to become free. */
    fun of(worker: WorkerRecord): Resources = free.getValue(worker)

    /** How many more runs may be started on [worker], whatever its room. */
    fun startsLeft(worker: WorkerRecord): Int = startsLeft[worker] ?: Int.MAX_VALUE

    /** Counts a run with [demand] on [worker]. */
    fun take(
        worker: WorkerRecord,
        demand: Resources,
    ) {
        free[worker] = of(worker) - demand
        startsLeft.computeIfPresent(worker) { _, left -> left - 1 }
    }

    /**
     * Keeps room for every task of [gang] on [allowed] workers, whether it is free yet or not, where it is nearest to
     * being free. Does nothing when they can't hold the gang, or too little would be left.
     */
    fun reserve(
        allowed: List<WorkerRecord>,
        gang: StepSpec,
    ) {
        val milliCpus = gang.demand.milliCpus.toLong() * gang.count
        // The first gang may have what it needs, or one that needs much would wait for good.
        if (reserved && milliCpus > reservableMilliCpus) return
        val left = HashMap<WorkerRecord, Resources>()
        val whole = HashMap<WorkerRecord, Resources>()
        allowed.forEach {
            left[it] = of(it)
            whole[it] = it.room
        }
        val places = ArrayList<WorkerRecord>(gang.count)
        repeat(gang.count) {
            val best = left.keys.filter { gang.demand.fitsIn(whole.getValue(it)) }.maxByOrNull { left.getValue(it).milliCpus }
            if (best == null) return
            left[best] = left.getValue(best) - gang.demand
            whole[best] = whole.getValue(best) - gang.demand
            places += best
        }
        reserved = true
        reservableMilliCpus -= milliCpus
        places.forEach { free[it] = of(it) - gang.demand }
    }

    private companion object {
        const val MOST_RESERVED_PERCENT = 40
        const val WHOLE_PERCENT = 100
    }
}
