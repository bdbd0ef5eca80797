package rhubarbknot.core.cell

/** Preempts the cheapest tasks on one executor in favour of an urgent job, with a checkpoint before the kill. */
internal class Preemptor(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
) {
    private val now get() = index.state.now

    /** Stops enough tasks to fit one task of [job] and reserves the executor. Does nothing if [job] holds a reservation already. */
    fun preemptFor(job: Job) {
        if (job in index.reserved) return
        val candidates =
            index.state.executors.values
                .asSequence()
                .filter { it.info.kind == job.kind && it.takesWork && it.reservedFor == null && job.spec.need.fitsIn(it.info.capacity) }
                .take(SEARCH_LIMIT)
        val best = candidates.mapNotNull { plan(it, job) }.minByOrNull { it.cost } ?: return
        val killAt = now + index.policy.checkpointGraceMillis
        best.victims.forEach { lifecycle.stop(it, StopMode.CHECKPOINT, killAt) }
        index.reserve(job, best.executor)
    }

    private fun plan(
        executor: Executor,
        job: Job,
    ): Plan? {
        var free = executor.free
        executor.running.filter { it.stop != null }.forEach { free += it.job.spec.need }
        var cost = 0.0
        val victims = ArrayList<Task>()
        val byCost =
            executor.running
                .filter { it.stop == null }
                .mapNotNull { task ->
                    index.policy.preemption
                        .cost(task, now)
                        ?.let { Candidate(task, it) }
                }.sortedWith(compareBy({ it.cost }, { it.task.job.seq }, { it.task.index }))
        for (candidate in byCost) {
            if (job.spec.need.fitsIn(free)) break
            victims.add(candidate.task)
            cost += candidate.cost
            free += candidate.task.job.spec.need
        }
        return if (job.spec.need.fitsIn(free)) Plan(executor, victims, cost) else null
    }

    private class Candidate(
        val task: Task,
        val cost: Double,
    )

    private class Plan(
        val executor: Executor,
        val victims: List<Task>,
        val cost: Double,
    )

    private companion object {
        const val SEARCH_LIMIT = 256
    }
}
