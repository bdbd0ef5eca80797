package rhubarbknot.core.cell

/** Decides whether an executor with enough room for a task may get it. */
fun interface Filter {
    fun admits(
        executor: Executor,
        job: Job,
    ): Boolean
}

/** Rates how well an executor suits a task; the lowest score wins, and the first one found on ties. */
fun interface Scorer {
    fun score(
        executor: Executor,
        job: Job,
        nowMillis: Long,
    ): Double
}

/** Cost of preempting a task; the cheapest tasks are preempted. Null if the task must not be preempted. */
fun interface PreemptionCost {
    fun cost(
        task: Task,
        nowMillis: Long,
    ): Double?
}

/**
 * The extension points and limits of a cell.
 *
 * @property order order of a team's jobs within one queue; ties are broken by order of acceptance.
 * @property searchLimit maximum number of fitting executors that are scored for one placement.
 * @property backfillDepth maximum number of jobs at the head of a queue that are tried in one go, including those that do not fit.
 * @property reserveAfterMillis wait after which executors are reserved for a job that does not fit.
 * @property maxTries failed attempts of an idempotent task after which its failure is final.
 * @property maxExecutorLosses executors that may end in a row within [crashWindowMillis] of the start of a task before it is given up.
 * @property crashWindowMillis age of an attempt up to which the task may have caused the end of its executor.
 * @property checkpointGraceMillis time a task has to checkpoint before it is killed.
 * @property quarantineAfter consecutive failures, of at least [quarantineJobs] jobs, after which an executor is quarantined.
 * @property quarantinePercent maximum percentage of the executors that may be in quarantine.
 * @property fairByShare whether teams are served by share; false serves them in order of arrival, as a baseline for benchmarks.
 * @property scanAll whether every executor is scored instead of using the index, as a baseline for benchmarks.
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
    val maxExecutorLosses: Int = 5,
    val crashWindowMillis: Long = 60_000,
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

/** Built-in orders of a team's queue. The position of a job must not change while it is queued. */
object QueueOrders {
    /** Order of arrival. */
    val byArrival: Comparator<Job> = compareBy { 0 }

    /**
     * Shorter jobs first, within bounds: a job is ordered as if it had arrived later by its estimated run time, but at most
     * by the overtake time in the team's row, so that short jobs can't delay a long one for longer than that. Urgent jobs
     * are kept in order of arrival.
     */
    val shorterFirst: Comparator<Job> = compareBy { job -> job.acceptedAt + job.placedBehindMillis }
}

/** Built-in scorers. */
object Scorers {
    /** Prefers executors with little capacity left over, in the same proportions as their total capacity. */
    val bestFit = Scorer { executor, job, _ -> leftover(executor, job) }

    /**
     * As [bestFit], and prefers executors that the task does not keep busy beyond the expected end of their running tasks.
     * Tasks that end late are thus placed together, and other executors become entirely free for large tasks.
     */
    val bestFitAligned =
        Scorer { executor, job, now ->
            val busyUntil = maxOf(now, executor.busyUntil)
            val extraMillis = maxOf(0, now + job.estimateMillis - busyUntil).toDouble()
            leftover(executor, job) + if (job.estimateMillis > 0) extraMillis / job.estimateMillis * ALIGNMENT_WEIGHT else 0.0
        }

    /** Prefers racks with few tasks of the job, then executors with much free capacity. */
    val spread =
        Scorer { executor, job, _ ->
            val sameRack = job.active.count { it.job === job && rackOf(job, it) == executor.info.rack }
            sameRack - fraction(executor.free.milliCpus, executor.info.capacity.milliCpus) / 2
        }

    /** Prefers the shortest expected response time, from the number of calls in progress and their recent mean duration. */
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
        val remaining = executor.free - job.spec.need
        val capacity = executor.info.capacity
        val cpu = fraction(remaining.milliCpus, capacity.milliCpus)
        val memory = fraction(remaining.memoryMb, capacity.memoryMb)
        return Math.abs(cpu - memory) + (cpu + memory) * LEFTOVER_WEIGHT + remaining.accelerators
    }

    private fun rackOf(
        job: Job,
        task: Task,
    ): String = job.backlog.racks(task.slot)

    private fun fraction(
        amount: Int,
        total: Int,
    ): Double = if (total <= 0) 0.0 else amount.toDouble() / total
}

/** Built-in preemption costs. */
object PreemptionCosts {
    /** Processor time since the start. Only idempotent batch tasks that are neither urgent nor part of a gang may be preempted. */
    val leastWorkLost =
        PreemptionCost { task, now ->
            val spec = task.job.spec
            val allowed = spec.idempotent && !spec.urgent && spec.kind == rhubarbknot.core.model.WorkKind.BATCH && !spec.gang
            if (allowed) (now - task.startedAt + 1).toDouble() * (spec.need.milliCpus + 1) else null
        }
}
