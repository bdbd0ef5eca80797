package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.AdmissionDecision
import rhubarbknot.core.overload.AdmissionPolicy
import rhubarbknot.core.overload.PendingWork
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.state.Job

/** Asks the [AdmissionPolicy] about submitted jobs with the load that this leader knows. */
internal class OverloadAdmission(
    private val loads: PoolLoadTracker,
    private val durations: RunDurationEstimator,
) {
    /** Decides on the job [request] for [queue] at [now]. While the load is unknown, everything is accepted. */
    fun decide(
        request: JobRequest,
        queue: Queue,
        now: Long,
    ): AdmissionDecision {
        val load = loads.poolLoad(queue.pool) ?: return AdmissionDecision.Accept
        // A lasting step has value for as long as it runs, whenever it starts.
        if (!load.isOversubscribed || request.steps.any { it.lasting }) return AdmissionDecision.Accept
        val decision =
            AdmissionPolicy.decide(
                request.id,
                pendingWork(request, queue, now),
                load,
                loads.teamLoad(queue.pool, request.team),
                now,
            )
        // Waiting for less load does not help a job that the pool or its team can never hold.
        val isHoldable = decision == AdmissionDecision.Accept || loads.canHold(queue.pool, request.team, request.steps)
        return if (isHoldable) decision else AdmissionDecision.Accept
    }

    private fun pendingWork(
        request: JobRequest,
        queue: Queue,
        now: Long,
    ): PendingWork {
        val timing = JobTiming.of(Job(request, now, emptyList()), queue, durations)
        return PendingWork(
            priority = queue.priority,
            objectiveAt = timing.objectiveAt,
            uselessAfter = timing.uselessAfter,
            remainingMillis = timing.pathMillis,
            estimateFactor = durations.uncertainty(request.queue),
            remainingCoreMillis =
                request.steps.sumOf {
                    it.count * PoolLoadTracker.coreMillis(it.demand.milliCpus, durations.expectedMillis(request.queue, it))
                },
        )
    }
}
