package rhubarbknot.core.cell

/** Makes room for urgent work by stopping, checkpoint first, the cheapest tasks on one executor. */
internal class Preemptor(
    private val index: CellIndex,
    private val book: JobLifecycle,
) {
    private val now get() = index.state.now

    /** Stops enough tasks for one task of [job] and keeps the room for it. Does nothing while room is being made. */
    fun makeRoom(job: Job) {
        if (job in index.reserved) return
        val candidates =
            index.state.executors.values
                .asSequence()
                .filter { it.info.kind == job.kind && it.takesWork && it.reservedFor == null && job.spec.need.fitsIn(it.info.capacity) }
                .take(SEARCH_LIMIT)
        val best = candidates.mapNotNull { plan(it, job) }.minByOrNull { it.cost } ?: return
        val killAt = now + index.policy.checkpointGraceMillis
        best.victims.forEach { book.stop(it, StopMode.CHECKPOINT, killAt) }
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
                        ?.let { Priced(task, it) }
                }.sortedWith(compareBy({ it.cost }, { it.task.job.seq }, { it.task.index }))
        for (priced in byCost) {
            if (job.spec.need.fitsIn(free)) break
            victims.add(priced.task)
            cost += priced.cost
            free += priced.task.job.spec.need
        }
        return if (job.spec.need.fitsIn(free)) Plan(executor, victims, cost) else null
    }

    private class Priced(
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
