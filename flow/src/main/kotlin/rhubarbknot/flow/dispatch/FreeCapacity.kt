package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.StepSpec
import java.util.PriorityQueue

/**
 * Free resources of each worker of a pool during one turn of a plan, and the reservations for gangs.
 *
 * Reservations work as in EASY backfilling: a gang that waits for room reserves it on workers that can hold it, with the time at which
 * the runs there are expected to have ended. Other tasks may use the room meanwhile if they are expected to end before.
 *
 * @param reservations what earlier steps of the plan have reserved.
 */
internal class FreeCapacity(
    val workers: List<WorkerRecord>,
    private val reservations: Reservations,
    private val ends: RunEndEstimator,
    private val now: Long,
) {
    private val free = LinkedHashMap<WorkerRecord, Resources>(workers.size * 2)
    private val startsLeft = HashMap<WorkerRecord, Int>()

    /** Which starts must not share a worker. */
    val isolation = StartIsolation(reservations.heldFor)

    /** CPU that may be reserved for gangs, in thousandths of a core. */
    private val reservableMilliCpus = workers.sumOf { it.capacity.milliCpus.toLong() } * MAX_RESERVED_PERCENT / WHOLE_PERCENT

    init {
        workers.forEach { worker ->
            free[worker] = worker.free
            worker.trust
                .startsAllowed(worker, now)
                .takeIf { it < Int.MAX_VALUE }
                ?.let { startsLeft[worker] = it }
        }
    }

    /**
     * Resources on [worker] that are not used, and not reserved before [endsBy], when the task that may get them will have ended; below
     * 0 where a reservation waits for runs to end.
     */
    fun of(
        worker: WorkerRecord,
        endsBy: Long = Long.MAX_VALUE,
    ): Resources {
        val unused = free.getValue(worker)
        return if (reservations.isEmpty) unused else unused - reservations.before(worker, endsBy)
    }

    /** Whether any worker takes a limited number of new runs. */
    val hasLimits: Boolean get() = startsLeft.isNotEmpty()

    /** How many more runs may be started on [worker], regardless of its free resources. */
    fun startsLeft(worker: WorkerRecord): Int = startsLeft[worker] ?: Int.MAX_VALUE

    /** Subtracts a run with [demand] from the free resources of [worker]. */
    fun allocate(
        worker: WorkerRecord,
        demand: Resources,
    ) {
        free[worker] = free.getValue(worker) - demand
        startsLeft.computeIfPresent(worker) { _, count -> count - 1 }
    }

    /** Records that [tasks] of [step] wait for room. */
    fun addWaiting(
        step: WaitingStep,
        tasks: Int,
    ) {
        reservations.waitingMilliCpus += step.spec.demand.milliCpus
            .toLong() * tasks
    }

    /**
     * Reserves resources for every task of the gang [step], which fits as [fit] says, on the [allowed] workers with the most free CPU,
     * even if the resources are still in use. Does nothing when the workers can't hold the gang, so that the reservation would never be
     * met, or when the limit on reservations would be exceeded.
     */
    fun reserve(
        allowed: List<WorkerRecord>,
        step: WaitingStep,
        fit: StepFit,
    ) {
        val gang = step.spec
        val milliCpus = gang.demand.milliCpus.toLong() * gang.count
        if (!mayReserve(milliCpus)) return
        val targets = chooseTargets(allowed, gang, fit) ?: return
        val startsAt = targets.maxOf { (worker, tasks) -> ends.availableAt(worker, gang.demand * tasks, now) }
        if (startsAt == Long.MAX_VALUE) return
        val isLogged = now - step.readyAt >= MIN_LOGGED_WAIT_MILLIS
        val reservation = GangReservation(step.key, milliCpus, targets.size, startsAt, isLogged)
        reservations.add(reservation, targets.mapValues { (_, tasks) -> gang.demand * tasks })
    }

    /**
     * Whether room may be kept for one more gang that needs [milliCpus]. The first one may exceed every limit; otherwise a large gang
     * would wait forever. In a full pool it is the only one, since room that waits for several gangs at once is empty for longer.
     */
    private fun mayReserve(milliCpus: Long): Boolean {
        if (reservations.first == null) return true
        val isFull = reservations.waitingMilliCpus + milliCpus > free.values.sumOf { it.milliCpus.toLong() }
        return !isFull && reservations.milliCpus + milliCpus <= reservableMilliCpus
    }

    private class Target(
        val worker: WorkerRecord,
        var remaining: Resources,
        var slots: Int,
    ) {
        var tasks = 0
    }

    /** Returns the number of tasks of [gang] for each of the chosen workers; null if the [allowed] ones can't hold all of them. */
    private fun chooseTargets(
        allowed: List<WorkerRecord>,
        gang: StepSpec,
        fit: StepFit,
    ): Map<WorkerRecord, Int>? {
        val candidates = PriorityQueue(compareByDescending<Target> { it.remaining.milliCpus }.thenBy { it.worker.incarnation.id })
        allowed.forEach { worker ->
            val slots = fit.wholeSlots(worker)
            if (slots > 0) candidates += Target(worker, of(worker), slots)
        }
        val chosen = LinkedHashMap<WorkerRecord, Int>()
        repeat(gang.count) {
            val best = candidates.poll() ?: return null
            best.remaining -= gang.demand
            best.tasks++
            chosen[best.worker] = best.tasks
            if (best.tasks < best.slots) candidates += best
        }
        return chosen
    }

    private companion object {
        const val MAX_RESERVED_PERCENT = 40
        const val WHOLE_PERCENT = 100

        /** A gang that gets its room sooner is not worth a line in the log. */
        const val MIN_LOGGED_WAIT_MILLIS = 300L
    }
}
