package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/**
 * How many tasks of [step] fit on a worker, by resources, spread limit and limits on starts. Placing tasks, asking the eligibility
 * service about workers and reserving room all use this one answer, so that nothing is reserved for a step that could not be placed.
 */
internal class StepFit(
    private val step: WaitingStep,
    private val free: FreeCapacity,
    runs: RunTracker,
    private val now: Long,
) {
    private val spec = step.spec
    private val stepRuns = if (spec.spreadLimit > 0) runs.ofStep(step.key) else null

    /** When a task that starts now will have ended, with a margin; never for a lasting one. */
    private val endsBy = if (spec.lasting) Long.MAX_VALUE else now + step.expectedMillis * DURATION_MARGIN

    /** Resources on [worker] that a task of the step may use now; below 0 where a reservation waits for runs to end. */
    fun available(worker: WorkerRecord): Resources = free.of(worker, endsBy)

    /** How many more tasks may start on [worker], regardless of its resources. */
    fun allowedStarts(worker: WorkerRecord): Int = minOf(allowedBySpread(worker), free.startsLeft(worker))

    /** How many tasks can start on [worker] now. */
    fun slots(worker: WorkerRecord): Int = slots(available(worker), allowedStarts(worker))

    /** How many tasks [worker] can hold once all runs on it have ended that ever will. */
    fun wholeSlots(worker: WorkerRecord): Int {
        val starts = if (worker.trust.isOnProbation(now)) 1 else Int.MAX_VALUE
        return slots(worker.capacity - worker.usedByLasting, minOf(allowedBySpread(worker), starts))
    }

    /** Whether [workers] can hold all tasks of the step at the same time, once the runs on them have ended. */
    fun canHoldAll(workers: List<WorkerRecord>): Boolean {
        var left = spec.count
        return workers.any { worker ->
            left -= wholeSlots(worker)
            left <= 0
        }
    }

    /** Whether the step could start on [workers] if their records did not limit the number of new runs. */
    fun hasRoomBeyondLimits(workers: List<WorkerRecord>): Boolean {
        val needed = if (spec.gang) spec.count else 1
        return workers.sumOf { slots(available(it), allowedBySpread(it)) } >= needed
    }

    private fun allowedBySpread(worker: WorkerRecord): Int =
        if (spec.spreadLimit > 0) spec.spreadLimit - (stepRuns?.countOn(worker.incarnation.id) ?: 0) else Int.MAX_VALUE

    private fun slots(
        available: Resources,
        starts: Int,
    ): Int {
        val demand = spec.demand
        if (!demand.fitsIn(available)) return 0
        val byResources =
            minOf(
                times(demand.milliCpus, available.milliCpus),
                times(demand.memoryMb, available.memoryMb),
                times(demand.accelerators, available.accelerators),
            )
        return maxOf(0, minOf(byResources, starts))
    }

    private fun times(
        demand: Int,
        available: Int,
    ): Int = if (demand > 0) minOf(available / demand, spec.count) else spec.count

    private companion object {
        /** Run times vary around their estimates; a task that overruns would delay the gang whose reservation it uses. */
        const val DURATION_MARGIN = 2
    }
}
