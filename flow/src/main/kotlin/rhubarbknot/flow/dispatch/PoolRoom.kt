package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.StepSpec

/** The workers of a pool that count as capacity, for the question whether they can ever hold a step, however many runs end. */
internal class PoolRoom(
    private val workers: List<WorkerRecord>,
) {
    /** Thousandths of a core of all workers. */
    val milliCpus: Long = workers.sumOf { it.capacity.milliCpus.toLong() }

    /** Thousandths of a core of runs that go on until they are cancelled. */
    val lastingMilliCpus: Long = workers.sumOf { it.usedByLasting.milliCpus.toLong() }

    /** Whether the workers can hold what [step] needs at the same time, and the [ceiling] of its team allows it. */
    fun canHold(
        step: StepSpec,
        ceiling: Resources,
    ): Boolean {
        var missing = if (step.gang) step.count else 1
        val demand = step.demand * missing
        if (!isWithin(demand, ceiling)) return false
        return workers.any { worker ->
            missing -= slots(worker, step)
            missing <= 0
        }
    }

    private fun slots(
        worker: WorkerRecord,
        step: StepSpec,
    ): Int {
        if (step.label.isNotEmpty() && step.label !in worker.report?.labels.orEmpty()) return 0
        val room = worker.capacity - worker.usedByLasting
        val demand = step.demand
        if (!demand.fitsIn(room)) return 0
        val byResources =
            minOf(
                times(demand.milliCpus, room.milliCpus),
                times(demand.memoryMb, room.memoryMb),
                times(demand.accelerators, room.accelerators),
            )
        return if (step.spreadLimit > 0) minOf(byResources, step.spreadLimit) else byResources
    }

    private fun times(
        demand: Int,
        room: Int,
    ): Int = if (demand > 0) room / demand else Int.MAX_VALUE

    private fun isWithin(
        demand: Resources,
        ceiling: Resources,
    ): Boolean =
        (ceiling.milliCpus == 0 || demand.milliCpus <= ceiling.milliCpus) &&
            (ceiling.memoryMb == 0 || demand.memoryMb <= ceiling.memoryMb) &&
            (ceiling.accelerators == 0 || demand.accelerators <= ceiling.accelerators)

    companion object {
        val EMPTY = PoolRoom(emptyList())
    }
}
