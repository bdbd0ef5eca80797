package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.WorkRank
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job

/**
 * Orders waiting steps for the case that there is more work than capacity, by the order that is in force for their pool. Every accepted
 * job runs eventually.
 */
internal class WorkQueue(
    private val state: FlowState,
    private val durations: RunDurationEstimator,
    private val orders: PoolOrders,
    private val repeated: RepeatedFailures,
) {
    private val rooms = RoomEstimator(durations)
    private var currentPass: PlanningPass? = null
    private val rates = TeamSubmissionRates()
    private val beyondShare = HashSet<String>()
    private val timings = HashMap<String, JobTiming>()

    /** Records that the job [id] of [team] was accepted at [now]. */
    fun submitted(
        id: String,
        team: String,
        now: Long,
    ) {
        val weight = state.team(team)?.weight ?: return
        if (rates.exceedsShare(team, weight, now)) beyondShare.add(id)
    }

    /**
     * Adds the steps with waiting tasks at [now] of the next jobs to [pass], until all are collected or [budget] is spent; tasks with
     * a run in [runs] count as started.
     */
    fun collect(
        pass: PlanningPass,
        runs: RunTracker,
        now: Long,
        budget: OperationBudget,
    ) {
        if (pass !== currentPass) orders.update(now)
        currentPass = pass
        while (!pass.isCollected && !budget.isSpent) {
            val job = state.nextStartableJob(pass.collectedUpTo)
            if (job == null) {
                pass.isCollected = true
                return
            }
            pass.collectedUpTo = job.sequence
            budget.spend(1)
            job.queue?.let { collect(job, it, runs, now, pass, budget) }
        }
    }

    private fun collect(
        job: Job,
        queue: Queue,
        runs: RunTracker,
        now: Long,
        pass: PlanningPass,
        budget: OperationBudget,
    ) {
        var index = job.nextStartableStep(0)
        var room: RoomNeed? = null
        while (index >= 0) {
            budget.spend(1)
            // Most steps with unassigned tasks have a proposed run of each of them.
            if (job.unassignedCount(index) > (runs.ofStep(StepKey(job.id, index))?.proposedCount ?: 0)) {
                val timing = timings.getOrPut(job.id) { computeTiming(job, queue, budget) }
                val need = room ?: roomNeed(job, queue, budget).also { room = it }
                pass.steps += waitingStep(job, queue, index, timing, need, runs, now)
            }
            index = job.nextStartableStep(index + 1)
        }
    }

    private fun waitingStep(
        job: Job,
        queue: Queue,
        index: Int,
        timing: JobTiming,
        room: RoomNeed,
        runs: RunTracker,
        now: Long,
    ): WaitingStep {
        val readyAt = timing.readyAt(index, now)
        val expected = durations.expectedMillis(job.request.queue, job.request.steps[index])
        val work = timing.pendingWork(job, queue, index, room, failuresOf(job, index, runs), job.id in beyondShare)
        val isFirst = orders.goesFirst(queue.pool, job, now)
        val rank = if (isFirst) WorkRank.FIRST else orders.of(queue.pool).rank(work, now)
        return WaitingStep(job, queue, index, runs, repeated, expected, work.tier(now), rank, readyAt, now)
    }

    /**
     * Failures that tell against step [index] of [job]. Those of a lasting task count from the second one on without a long run between
     * them.
     */
    private fun failuresOf(
        job: Job,
        index: Int,
        runs: RunTracker,
    ): Int {
        if (!job.request.steps[index].lasting) return job.failures(index)
        return repeated.highestRepeats(StepKey(job.id, index)) { runs.of(TaskId(job.id, 0, index, it)) == null }
    }

    /** The room that [job] needs, where it counts for the order. */
    private fun roomNeed(
        job: Job,
        queue: Queue,
        budget: OperationBudget,
    ): RoomNeed {
        if (!orders.isByDelayCost(queue.pool)) return RoomNeed.UNKNOWN
        budget.spend(job.request.steps.size)
        return rooms.need(job)
    }

    private fun computeTiming(
        job: Job,
        queue: Queue,
        budget: OperationBudget,
    ): JobTiming {
        budget.spend(job.request.steps.size)
        rooms.learn(job)
        return JobTiming.of(job, queue, durations)
    }

    /** Removes the cached data of finished jobs once enough of it has accumulated. */
    fun removeFinished() {
        if (timings.size <= MAX_FINISHED_JOBS + state.liveJobCount) return
        timings.keys.removeIf { isFinished(it) }
        beyondShare.removeIf { isFinished(it) }
    }

    /** Whether the job [id] is over or unknown. */
    fun isFinished(id: String): Boolean = state.job(id)?.phase?.isFinal ?: true

    companion object {
        private const val MAX_FINISHED_JOBS = 500

        /** Scheduling order of waiting steps. */
        val order: Comparator<WaitingStep> =
            compareBy({ it.rank }, { it.job.sequence }, { it.index })
    }
}
