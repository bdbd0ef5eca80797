package rhubarbknot.core.cell

import rhubarbknot.core.model.WorkKind

/** Selects the executor for a task: the one with the lowest score among those where it fits. */
internal class Placement(
    private val index: CellIndex,
) {
    private val policy get() = index.policy

    /** Returns an executor with room for one task of [job], or null if there is none. */
    fun find(job: Job): Executor? {
        index.reserved[job]?.firstOrNull { it.takesWork && job.spec.need.fitsIn(it.free) }?.let { return it }
        val need = job.spec.need
        val free = index.freeIndex(job.kind)
        val search = Search(job, scorer(job))
        val since = free.noFitGeneration(need)
        when {
            policy.scanAll ->
                index.state.executors.values
                    .forEach { if (it.info.kind == job.kind) search.consider(it) }
            since != null -> free.freedSince(since) { search.consider(it) }
            job.spec.kind == WorkKind.BATCH -> free.tightestFirst(need) { search.consider(index.executor(it)) }
            else -> free.emptiestFirst(need) { search.consider(index.executor(it)) }
        }
        if (search.best == null && !search.filtered) free.recordNoFit(need)
        return search.best
    }

    private fun scorer(job: Job): Scorer =
        when (job.spec.kind) {
            WorkKind.CALL -> policy.calling
            WorkKind.BATCH -> policy.packing
            WorkKind.SERVICE -> policy.spreading
        }

    private inner class Search(
        private val job: Job,
        private val scorer: Scorer,
    ) {
        var best: Executor? = null
        var filtered = false
        private var bestScore = Double.POSITIVE_INFINITY
        private var fitting = 0

        /** Scores [executor] if the task may run there. Returns false once enough executors have been scored. */
        fun consider(executor: Executor): Boolean {
            if (!executor.takesWork || executor.reservedFor != null || !job.spec.need.fitsIn(executor.free)) return true
            if (!policy.filter.admits(executor, job)) {
                filtered = true
                return true
            }
            val score = scorer.score(executor, job, index.state.now)
            if (score < bestScore) {
                best = executor
                bestScore = score
            }
            fitting++
            return policy.scanAll || fitting < policy.searchLimit
        }
    }
}
