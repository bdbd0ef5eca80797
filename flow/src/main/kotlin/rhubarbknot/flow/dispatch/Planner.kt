package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
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

/** Places the waiting steps on workers in queue order. */
internal class Planner(
    private val queue: WorkQueue,
    private val placer: StepPlacer,
    private val runs: RunTracker,
    private val usage: TeamUsage,
    private val effects: EffectBuffer,
) {
    private val loggedReasons = HashMap<StepKey, WaitReason>()

    /** Places as many waiting tasks as possible at [now]; [usableWorkers] is called only if any task waits. */
    fun plan(
        configuration: Configuration,
        now: Long,
        usableWorkers: () -> List<WorkerRecord>,
    ): List<PlannedRun> {
        queue.removeFinished()
        val waiting = queue.waiting(configuration, runs, now)
        if (waiting.isEmpty()) return emptyList()
        val pools = usableWorkers().groupBy { it.report?.pool }.mapValues { FreeCapacity(it.value, now) }
        val placed = ArrayList<PlannedRun>()
        usage.releaseReservations()
        waiting.forEach { step ->
            val free = pools[step.queue.pool] ?: FreeCapacity(emptyList(), now)
            when (val result = placer.place(step, configuration, free, runs, now)) {
                is PlacementResult.Placed -> {
                    loggedReasons.remove(step.key)
                    result.runs.forEach { run ->
                        free.allocate(run.worker, run.demand)
                        usage.add(run.team, run.demand)
                    }
                    placed += result.runs
                }
                is PlacementResult.NotPlaced -> {
                    logWaitReason(step, result.reason, now)
                    if (step.spec.gang) reserveForGang(step, result.reason, configuration, free, now)
                }
            }
        }
        // The usage is added again when the runs are tracked.
        placed.forEach { usage.remove(it.team, it.demand) }
        usage.releaseReservations()
        return placed
    }

    /** Reserves the resource that a gang waits for, so that later steps do not take it. */
    private fun reserveForGang(
        step: WaitingStep,
        reason: WaitReason,
        configuration: Configuration,
        free: FreeCapacity,
        now: Long,
    ) {
        when (reason) {
            WaitReason.NO_ROOM, WaitReason.NO_ELIGIBLE_ROOM, WaitReason.ELIGIBILITY_ASKED, WaitReason.START_ISOLATED ->
                placer.reserve(step, configuration, free, now)
            WaitReason.TEAM_AT_CEILING -> placer.reserveCeiling(step, configuration)
            WaitReason.GANG_STILL_ENDING, WaitReason.NO_ABLE_WORKER -> Unit
        }
    }

    /** Logs why a step waits, whenever the reason changes, once it has waited for at least [MIN_LOGGED_WAIT_MILLIS]. */
    private fun logWaitReason(
        step: WaitingStep,
        reason: WaitReason,
        now: Long,
    ) {
        if (now - step.readyAt < MIN_LOGGED_WAIT_MILLIS || loggedReasons[step.key] == reason) return
        loggedReasons[step.key] = reason
        if (loggedReasons.size > MAX_LOGGED_REASONS) loggedReasons.clear()
        effects.logEvent(
            DispatchEvent.STEP_WAITS,
            step.key.toString(),
            "reason=$reason since=${now - step.readyAt}ms tier=${step.tier} tasks=${step.waiting.size} cpu=${step.spec.demand.milliCpus}",
        )
    }

    private companion object {
        const val MIN_LOGGED_WAIT_MILLIS = 300L
        const val MAX_LOGGED_REASONS = 5_000
    }
}
