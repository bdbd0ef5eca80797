package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.core.overload.Tier
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.state.Assignment

/** A run placed on a worker, with its eligibility ticket and the wait and tier that are logged for it. */
internal class PlannedRun(
    val assignment: Assignment,
    val worker: WorkerRecord,
    val team: String,
    val demand: Resources,
    val ticket: Ticket?,
    val waitedMillis: Long,
    val tier: Tier,
)

/** Places the waiting steps on workers in queue order, in turns of limited length. */
internal class Planner(
    private val queue: WorkQueue,
    private val placer: StepPlacer,
    private val runs: RunTracker,
    private val ends: RunEndEstimator,
    private val usage: TeamUsage,
    private val effects: EffectBuffer,
) {
    private val loggedReasons = HashMap<StepKey, WaitReason>()
    private val reservationMonitor = ReservationMonitor(effects)
    private var pass: PlanningPass? = null

    /** Whether the current pass has steps left for the next turn. */
    val isUnfinished: Boolean get() = pass != null

    /** Operations of the longest turn so far. */
    var longestTurn = 0
        private set

    /**
     * Goes on with the current pass or begins one at [now], and returns the runs to assign; [usableWorkers] is called only if any task
     * waits.
     */
    fun plan(
        configuration: Configuration,
        now: Long,
        usableWorkers: () -> List<WorkerRecord>,
    ): List<PlannedRun> {
        val current = pass?.takeIf { it.configuration === configuration } ?: beginPass(configuration, now)
        val budget = OperationBudget(MAX_OPERATIONS)
        queue.collect(current, runs, now, budget)
        val placed = if (current.isCollected) place(current, now, budget, usableWorkers) else emptyList()
        if (current.isCollected && current.steps.isEmpty()) {
            usage.releaseReservations()
            reservationMonitor.passEnded(current, now)
            pass = null
        }
        longestTurn = maxOf(longestTurn, budget.spent)
        return placed
    }

    private fun beginPass(
        configuration: Configuration,
        now: Long,
    ): PlanningPass {
        placer.beginPass(now)
        queue.removeFinished()
        if (loggedReasons.size >= MAX_LOGGED_REASONS) loggedReasons.keys.removeIf { queue.isFinished(it.job) }
        usage.releaseReservations()
        return PlanningPass(configuration).also { pass = it }
    }

    private fun place(
        pass: PlanningPass,
        now: Long,
        budget: OperationBudget,
        usableWorkers: () -> List<WorkerRecord>,
    ): List<PlannedRun> {
        if (pass.steps.isEmpty()) return emptyList()
        val pools =
            usableWorkers()
                .groupBy { it.report?.pool }
                .mapValues { (pool, workers) -> FreeCapacity(workers, pass.reservations(pool), ends, now) }
        val placed = ArrayList<PlannedRun>()
        while (!budget.isSpent && placed.size < MAX_RUNS) {
            val step = pass.steps.poll() ?: break
            if (step.waitingCount <= 0) continue
            val free = pools[step.queue.pool] ?: FreeCapacity(emptyList(), pass.reservations(step.queue.pool), ends, now)
            budget.spend(1 + free.workers.size)
            val maxRuns = MAX_RUNS - placed.size
            val runs = placeStep(step, free, budget, now, maxRuns)
            placed += runs
            // The rest of a step that had to be cut keeps its place in the order.
            if (runs.size >= maxRuns && step.waitingCount > runs.size) {
                pass.steps += step
            } else if (runs.isNotEmpty()) {
                free.addWaiting(step, step.waitingCount - runs.size)
            }
        }
        // The usage is added again when the runs are tracked.
        placed.forEach { usage.remove(it.team, it.demand) }
        return placed
    }

    /** Places at most [maxRuns] tasks of [step] into [free], or reserves room for it; returns the placed runs. */
    private fun placeStep(
        step: WaitingStep,
        free: FreeCapacity,
        budget: OperationBudget,
        now: Long,
        maxRuns: Int,
    ): List<PlannedRun> =
        when (val result = placer.place(step, free, runs, now, maxRuns)) {
            is PlacementResult.Placed -> {
                loggedReasons.remove(step.key)
                budget.spend(result.runs.size)
                result.runs.forEach { run ->
                    free.allocate(run.worker, run.demand)
                    usage.add(run.team, run.demand)
                }
                result.runs
            }
            is PlacementResult.NotPlaced -> {
                logWaitReason(step, result.reason, now)
                if (step.spec.gang) {
                    budget.spend(step.spec.count)
                    reserveForGang(step, result.reason, free, now)
                }
                if (result.reason.isForRoom) free.addWaiting(step, step.waitingCount)
                emptyList()
            }
        }

    /** Reserves the resource that a gang waits for, so that later steps do not take it. */
    private fun reserveForGang(
        step: WaitingStep,
        reason: WaitReason,
        free: FreeCapacity,
        now: Long,
    ) {
        when {
            reason.isForRoom -> placer.reserve(step, free, runs, now)
            reason == WaitReason.TEAM_AT_CEILING -> placer.reserveCeiling(step, free, runs, now)
        }
    }

    /** Logs why a step waits, whenever the reason changes, once it has waited for at least [MIN_LOGGED_WAIT_MILLIS]. */
    private fun logWaitReason(
        step: WaitingStep,
        reason: WaitReason,
        now: Long,
    ) {
        if (now - step.readyAt < MIN_LOGGED_WAIT_MILLIS || loggedReasons[step.key] == reason) return
        if (loggedReasons.size >= MAX_LOGGED_REASONS && step.key !in loggedReasons) return
        loggedReasons[step.key] = reason
        effects.logEvent(
            if (reason == WaitReason.ELIGIBILITY_DEFERRED) DispatchEvent.QUESTION_DEFERRED else DispatchEvent.STEP_WAITS,
            step.key.toString(),
            "reason=$reason since=${now - step.readyAt}ms tier=${step.tier} tasks=${step.waitingCount} cpu=${step.spec.demand.milliCpus}",
        )
    }

    private companion object {
        /** A few hundredths of a second, and so a small part of a leader's lease. */
        const val MAX_OPERATIONS = 100_000

        /** Runs that one command assigns, so that neither its entry in the log nor its starts take long; a gang may exceed it. */
        const val MAX_RUNS = 500
        const val MIN_LOGGED_WAIT_MILLIS = 300L

        /** Waiting steps whose reasons are remembered, so that each is logged once; further steps are not logged. */
        const val MAX_LOGGED_REASONS = 5_000
    }
}
