package rhubarbknot.core.cell

/** Whether an executor may get a task at all, beyond having room for it. */
fun interface Filter {
    fun admits(
        executor: Executor,
        job: Job,
    ): Boolean
}

/** How well an executor suits a task; the lowest score wins, ties go to the lowest slot. */
fun interface Scorer {
    fun score(
        executor: Executor,
        job: Job,
        nowMillis: Long,
    ): Double
}

/** What stopping a task to make room would cost; the cheapest tasks are stopped. Null when it must not be stopped. */
fun interface PreemptionCost {
    fun cost(
        task: Task,
        nowMillis: Long,
    ): Double?
}

/**
 * The plug points and limits of a cell.
 *
 * @property order order of a team's jobs within one queue; ties go to the earlier one.
 * @property searchLimit executors that fit and are scored for one placement.
 * @property backfillDepth jobs of one team looked at behind one that does not fit.
 * @property reserveAfterMillis wait after which capacity is kept free for a job that does not fit.
 * @property maxTries tries of an idempotent task before its failure is final.
 * @property checkpointGraceMillis time a task has to checkpoint before it is killed.
 * @property quarantineAfter failures in a row, from at least [quarantineJobs] jobs, that put an executor in quarantine.
 * @property quarantinePercent largest part of the executors that may be in quarantine.
 * @property fairByShare false serves teams in order of arrival, the baseline that shares are measured against.
 * @property scanAll scores every executor instead of using the index, the baseline that it is measured against.
 */
data class CellPolicy(
    val order: Comparator<Job> = QueueOrders.shorterFirst,
    val filter: Filter = Filter { _, _ -> true },
    val packing: Scorer = Scorers.bestFitAligned,
    val spreading: Scorer = Scorers.spread,
    val calling: Scorer = Scorers.quickest,
    val preemption: PreemptionCost = PreemptionCosts.leastWorkLost,
    val searchLimit: Int = 16,
    val backfillDepth: Int = 16,
    val reserveAfterMillis: Long = 2_000,
    val gangRetryMillis: Long = 100,
    val maxTries: Int = 3,
    val backoffMillis: Long = 200,
    val backoffMaxMillis: Long = 30_000,
    val checkpointGraceMillis: Long = 1_500,
    val limitGraceMillis: Long = 3_000,
    val quarantineAfter: Int = 5,
    val quarantineJobs: Int = 3,
    val quarantineMillis: Long = 60_000,
    val quarantinePercent: Int = 10,
    val unfittingGraceMillis: Long = 60_000,
    val retainMillis: Long = 600_000,
    val retainIdempotentMillis: Long = 60_000,
    val maxRetained: Int = 500_000,
    val fairByShare: Boolean = true,
    val scanAll: Boolean = false,
)

/** The orders of a team's queue that come with the project. They must not change while a job is queued. */
object QueueOrders {
    /** By arrival. */
    val byArrival: Comparator<Job> = compareBy { 0 }

    /**
     * Shorter work first, within bounds: a job comes as if it had arrived later by its estimated run time, at most by
     * what the team's row says, so that short work can't hold up long work for longer than that. Urgent work goes by
     * arrival.
     */
    val shorterFirst: Comparator<Job> = compareBy { job -> job.acceptedAt + job.placedBehindMillis }
}

/** The scorers that come with the project. */
object Scorers {
    /** Little left over, and left over in the proportions of the whole executor. */
    val bestFit = Scorer { executor, job, _ -> leftover(executor, job) }

    /**
     * As [bestFit], and where the task keeps the executor busy no longer than it is anyway: tasks that end late
     * gather, so that other executors come free as a whole for large work.
     */
    val bestFitAligned =
        Scorer { executor, job, now ->
            val until = maxOf(now, executor.busyUntil)
            val longer = maxOf(0, now + job.estimateMillis - until).toDouble()
            leftover(executor, job) + if (job.estimateMillis > 0) longer / job.estimateMillis * ALIGNMENT_WEIGHT else 0.0
        }

    /** Racks with few tasks of the job first, then executors with much room. */
    val spread =
        Scorer { executor, job, _ ->
            val sameRack = job.active.count { it.job === job && rackOf(job, it) == executor.info.rack }
            sameRack - part(executor.free.milliCpus, executor.info.capacity.milliCpus) / 2
        }

    /** The shortest expected time, from calls under way and how long they took there lately. */
    val quickest =
        Scorer { executor, _, _ ->
            (executor.running.size + 1) * maxOf(1.0, executor.meanMillis)
        }

    private const val LEFTOVER_WEIGHT = 0.1
    private const val ALIGNMENT_WEIGHT = 0.2

    private fun leftover(
        executor: Executor,
        job: Job,
    ): Double {
        val left = executor.free - job.spec.need
        val all = executor.info.capacity
        val cpu = part(left.milliCpus, all.milliCpus)
        val memory = part(left.memoryMb, all.memoryMb)
        return Math.abs(cpu - memory) + (cpu + memory) * LEFTOVER_WEIGHT + left.accelerators
    }

    private fun rackOf(
        job: Job,
        task: Task,
    ): String = job.lane.racks(task.slot)

    private fun part(
        amount: Int,
        of: Int,
    ): Double = if (of <= 0) 0.0 else amount.toDouble() / of
}

/** The preemption costs that come with the project. */
object PreemptionCosts {
    /** Processor time since the start. Only idempotent batch work that is not urgent may be stopped. */
    val leastWorkLost =
        PreemptionCost { task, now ->
            val spec = task.job.spec
            val allowed = spec.idempotent && !spec.urgent && spec.kind == rhubarbknot.core.model.WorkKind.BATCH && !spec.gang
            if (allowed) (now - task.startedAt + 1).toDouble() * (spec.need.milliCpus + 1) else null
        }
}
