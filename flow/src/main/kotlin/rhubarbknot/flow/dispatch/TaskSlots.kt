package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** Free slots for the tasks of a step, taken one at a time. */
internal class TaskSlots(
    private val step: WaitingStep,
    eligibleWorkers: List<WorkerRecord>,
    free: FreeCapacity,
    runs: RunTracker,
) {
    private val demand = step.spec.demand
    private val remaining = LinkedHashMap<WorkerRecord, Resources>()
    private val allowed = HashMap<WorkerRecord, Int>()

    init {
        val runsPerWorker = HashMap<String, Int>()
        if (step.spec.spreadLimit > 0) {
            // Uncommitted runs count against the spread limit as well.
            step.tasks.indices.forEach { i ->
                runs.of(step.taskId(i))?.let { runsPerWorker.merge(it.worker.incarnation.id, 1, Int::plus) }
            }
        }
        eligibleWorkers.forEach { worker ->
            val bySpread =
                if (step.spec.spreadLimit > 0) step.spec.spreadLimit - (runsPerWorker[worker.incarnation.id] ?: 0) else Int.MAX_VALUE
            val allowedStarts = minOf(bySpread, free.startsLeft(worker))
            if (allowedStarts > 0 && demand.fitsIn(free.of(worker))) {
                remaining[worker] = free.of(worker)
                allowed[worker] = allowedStarts
            }
        }
    }

    /** Takes a slot on the best worker for one more task; null when there is none. */
    fun takeBest(): WorkerRecord? {
        val best =
            remaining.keys.minWithOrNull(
                // A crash ends all runs of a worker, so a suspect starts where the fewest run.
                compareBy(
                    { if (step.isSuspect) it.runs.size else 0 },
                    { !isNearData(it) },
                    { remaining.getValue(it).milliCpus },
                    { it.incarnation.id },
                ),
            ) ?: return null
        val remainingHere = remaining.getValue(best) - demand
        val allowedStarts = allowed.getValue(best) - 1
        if (allowedStarts > 0 && demand.fitsIn(remainingHere)) {
            remaining[best] = remainingHere
            allowed[best] = allowedStarts
        } else {
            remaining.remove(best)
        }
        return best
    }

    private fun isNearData(worker: WorkerRecord): Boolean = step.spec.dataRack.isEmpty() || worker.report?.rack == step.spec.dataRack
}
