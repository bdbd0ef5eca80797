package rhubarbknot.flow.dispatch

/**
 * Keeps the start of a task that is suspected of crashing its workers apart from the starts of other jobs while a plan is
 * computed. If the worker then crashes, the task that caused it is known, and no other job is suspected with it.
 *
 * @param heldFor jobs for which workers are held during the whole plan.
 */
internal class StartIsolation(
    private val heldFor: MutableMap<WorkerRecord, String>,
) {
    private class Planned(
        val job: String,
        val isSuspect: Boolean,
    )

    private val planned = HashMap<WorkerRecord, ArrayList<Planned>>()

    /** Whether a run of [step] may start on [worker] beside the runs that have started there just before. */
    fun allows(
        worker: WorkerRecord,
        step: WaitingStep,
    ): Boolean {
        val job = step.job.id
        val holder = heldFor[worker]
        if (holder != null && holder != job) return false
        val startingHere = worker.starting.any { (step.isSuspect || it.isSuspect) && it.run.task.job != job }
        return !startingHere && planned[worker].orEmpty().none { (step.isSuspect || it.isSuspect) && it.job != job }
    }

    /** Records that a run of [step] is placed on [worker] in this plan. */
    fun place(
        worker: WorkerRecord,
        step: WaitingStep,
    ) {
        planned.getOrPut(worker) { ArrayList() } += Planned(step.job.id, step.isSuspect)
    }

    /**
     * Keeps other jobs from starting runs on [count] of [candidates], so that [step] can start there soon. Only one step holds
     * workers in a plan, since they take no other starts meanwhile.
     */
    fun hold(
        candidates: List<WorkerRecord>,
        step: WaitingStep,
        count: Int,
    ) {
        if (heldFor.isNotEmpty()) return
        candidates
            .sortedBy { worker -> worker.starting.maxOfOrNull { it.proposedAt } ?: 0 }
            .take(count)
            .forEach { heldFor[it] = step.job.id }
    }
}
