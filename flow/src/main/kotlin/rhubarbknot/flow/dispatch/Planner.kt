package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.state.Assignment

/** A run that the planner places, with the ticket that it needs and why it comes now. */
internal class PlannedRun(
    val assignment: Assignment,
    val worker: WorkerRecord,
    val team: String,
    val demand: Resources,
    val ticket: Ticket?,
    val waitedMillis: Long,
    val tier: Tier,
)

/** Goes through the waiting steps in their order and places what can be placed now. */
internal class Planner(
    private val queue: WorkQueue,
    private val placement: StepPlacer,
    private val runs: RunTracker,
    private val use: TeamUsage,
    private val out: EffectBuffer,
) {
    private val reasons = HashMap<StepKey, WaitReason>()

    /** Places what can be placed at [now] on [workers], which lists only those that may be given work. */
    fun plan(
        configuration: Configuration,
        workers: List<WorkerRecord>,
        now: Long,
    ): List<PlannedRun> {
        queue.forgetFinished()
        val pools = workers.groupBy { it.report?.pool }.mapValues { FreeCapacity(it.value, now) }
        val placed = ArrayList<PlannedRun>()
        use.releaseHeld()
        queue.waiting(configuration, runs, now).forEach { step ->
            val free = pools[step.queue.pool] ?: FreeCapacity(emptyList(), now)
            when (val placing = placement.place(step, configuration, free, runs, now)) {
                is PlacementResult.Placed -> {
                    reasons.remove(step.key)
                    placing.runs.forEach { run ->
                        free.take(run.worker, run.demand)
                        use.add(run.team, run.demand)
                    }
                    placed += placing.runs
                }
                is PlacementResult.NotPlaced -> {
                    noteReason(step, placing.reason, now)
                    if (step.spec.gang) keepRoom(step, placing.reason, configuration, free)
                }
            }
        }
        // Counted for good once they are tracked.
        placed.forEach { use.remove(it.team, it.demand) }
        use.releaseHeld()
        return placed
    }

    /** Keeps what a gang waits for from steps that come after it. */
    private fun keepRoom(
        step: WaitingStep,
        reason: WaitReason,
        configuration: Configuration,
        free: FreeCapacity,
    ) {
        when (reason) {
            WaitReason.NO_ROOM, WaitReason.NO_ELIGIBLE_ROOM, WaitReason.ELIGIBILITY_ASKED -> placement.reserve(step, configuration, free)
            WaitReason.TEAM_AT_CEILING -> placement.reserveCeiling(step, configuration)
            WaitReason.GANG_STILL_ENDING, WaitReason.NO_ABLE_WORKER -> Unit
        }
    }

    /** Tells why a step waits, each time that the reason changes, once it has waited for longer than usual. */
    private fun noteReason(
        step: WaitingStep,
        reason: WaitReason,
        now: Long,
    ) {
        if (now - step.readyAt < USUAL_WAIT_MILLIS || reasons[step.key] == reason) return
        reasons[step.key] = reason
        if (reasons.size > MOST_REASONS) reasons.clear()
        out.note(
            DispatchEvent.STEP_WAITS,
            step.key.toString(),
            "reason=$reason since=${now - step.readyAt}ms tier=${step.tier} tasks=${step.waiting.size} cpu=${step.spec.demand.milliCpus}",
        )
    }

    private companion object {
        const val USUAL_WAIT_MILLIS = 300L
        const val MOST_REASONS = 5_000
    }
}
