package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import java.util.PriorityQueue

/** Free slots for the tasks of a step, taken one at a time. */
internal class TaskSlots(
    private val step: WaitingStep,
    eligibleWorkers: List<WorkerRecord>,
    fit: StepFit,
    now: Long,
) {
    private class WorkerSlots(
        val worker: WorkerRecord,
        var remaining: Resources,
        var allowedStarts: Int,
        val isSuspected: Boolean,
        val isNearData: Boolean,
    )

    private val demand = step.spec.demand
    private val slots = PriorityQueue(if (step.isSuspect) suspectOrder else order)

    init {
        eligibleWorkers.forEach { worker ->
            if (fit.slots(worker) <= 0) return@forEach
            val isSuspected = worker.trust.isSuspected(now)
            slots += WorkerSlots(worker, fit.available(worker), fit.allowedStarts(worker), isSuspected, isNearData(worker))
        }
    }

    /** Takes a slot on the best worker for one more task; null when there is none. */
    fun takeBest(): WorkerRecord? {
        val best = slots.poll() ?: return null
        best.remaining -= demand
        best.allowedStarts--
        if (best.allowedStarts > 0 && demand.fitsIn(best.remaining)) slots += best
        return best.worker
    }

    private fun isNearData(worker: WorkerRecord): Boolean = step.spec.dataRack.isEmpty() || worker.report?.rack == step.spec.dataRack

    private companion object {
        val order = compareBy<WorkerSlots>({ it.isSuspected }, { !it.isNearData }, { it.remaining.milliCpus }, { it.worker.incarnation.id })

        /** A crash ends all runs of a worker, so a suspect starts where the fewest run. */
        val suspectOrder = compareBy<WorkerSlots> { it.worker.runs.size }.then(order)
    }
}
