package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.AdmissionDecision
import rhubarbknot.core.overload.PoolLoad
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState

/**
 * Assigns runs to workers and supervises them during one term of the leader, as a pure state machine.
 *
 * A run is started only after its assignment is committed to the log. Before the leader uses a worker, it sends the
 * fencing token of this term and asks which runs are active and which have ended there. A call without a response is
 * retried or followed by a stop. A task is restarted on another worker only once the first worker is guaranteed not to
 * run it: the worker said so, it is a new incarnation, or the latest lease deadline that any leader can have granted has
 * passed on the worker's clock.
 */
class Dispatcher(
    private val state: FlowState,
    settings: DispatchSettings,
    val term: Long,
    startedAt: Long,
) {
    private val effects = EffectBuffer()
    private val usage = TeamUsage()
    private val durations = RunDurationEstimator()
    private val failures = StepFailures()
    private val repeatedFailures = RepeatedFailures()
    private val limitBound = LimitBound(effects)
    private val eligibility = EligibilityTracker(term)
    private val runs = RunTracker(state, usage, effects)
    private val leases = LeaseManager(settings)
    private val workers = WorkerTracker(settings, term, startedAt, runs, leases, effects)
    private val callScheduler = WorkerCallScheduler(state, settings, runs, workers, leases, effects)
    private val replyHandler =
        WorkerReplyHandler(state, settings, term, runs, workers, eligibility, ProgressMonitor(settings, durations, runs, effects), effects)
    private val appliedCommands = AppliedCommandHandler(state, settings, runs, workers, durations, failures, repeatedFailures, effects)
    private val loads = PoolLoadTracker(state, durations, knownFrom = startedAt + settings.reportTimeoutMillis)
    private val orders = PoolOrders({ if (settings.ordersByDelayCost) loads.poolLoad(it) else null }, effects, state)
    private val queue = WorkQueue(state, durations, orders, repeatedFailures)
    private val planner = Planner(queue, StepPlacer(state, eligibility, usage, failures), runs, RunEndEstimator(durations), usage, effects)
    private val admission = OverloadAdmission(loads, durations)
    private var planDueAt = 0L
    private var sweepDueAt = 0L
    private var startedJobsDueAt = 0L
    private var planRequested = true
    private var lastPlannedChanges = -1L

    init {
        // A later incarnation gets a higher fencing token.
        state.occupiedWorkers.sortedBy { it.born }.forEach { incarnation ->
            val worker = workers.getOrAdd(incarnation)
            state.runsOn(incarnation).forEach { (task, number) ->
                runs.track(RunId(task, number), worker, RunStage.INHERITED, null, startedAt)
            }
        }
    }

    /** Number of runs that may exist and were assigned under earlier leaders. */
    val inheritedRuns: Int = workers.all.sumOf { it.runs.size }

    /** Number of workers that may get runs at [now] and number of all known workers, for status pages. */
    fun workerCounts(now: Long): Pair<Int, Int> = usableWorkers(now).size to workers.all.size

    /** Operations of the longest turn of planning so far, for status pages. */
    val longestPlanningTurn: Int get() = planner.longestTurn

    /** Capacity of [pool] and the work that waits for it, as of the last planning period; null while this leader doesn't know it yet. */
    fun poolLoad(pool: String): PoolLoad? = loads.poolLoad(pool)

    /** Number of plans so far in which a pool's work was ordered by what its delay costs, for status pages. */
    val plansByDelayCost: Long get() = orders.plansByDelayCost

    /** Decides whether the new job [request] for [queue] can still be done in time to matter. */
    fun admit(
        request: JobRequest,
        queue: Queue,
        now: Long,
    ): AdmissionDecision = admission.decide(request, queue, now)

    /** Returns and removes the effects requested since the last call. */
    fun drain(): List<DispatchEffect> = effects.drain()

    /** Sets the hosts that may currently call the eligibility service. */
    fun setEligibilityCallers(names: Collection<String>) = eligibility.setCallers(names)

    /** Handles a worker's status report; [report] may be out of date. */
    fun workerReported(
        report: WorkerReport,
        now: Long,
    ) = workers.updateReport(report, now)

    /** Handles the leave message of the worker called [id], which is shutting down. */
    fun workerLeft(
        id: String,
        now: Long,
    ) = workers.markLeaving(id, now)

    /** Handles [command], which was applied with [outcome]. */
    fun commandApplied(
        command: FlowCommand,
        outcome: FlowOutcome,
        now: Long,
    ) {
        // An accepted assignment only uses room; a rejected one counts as a removal.
        if (command !is FlowCommand.Assign) planRequested = true
        if (command is FlowCommand.Submit) queue.submitted(command.request.id, command.request.team, now)
        appliedCommands.handle(command, outcome, now)
        loads.commandApplied(command)
    }

    /** Handles [reply] to [call], which was sent at [sentAt]. */
    fun workerReplied(
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long,
        now: Long,
    ) = replyHandler.handle(call, reply, sentAt, now)

    /** Handles a response of the eligibility service. */
    fun eligibilityReplied(
        reply: EligibilityReply,
        now: Long,
    ) {
        if (eligibility.handleReply(reply, now) != null) planRequested = true
    }

    /** Sends all due calls and plans new runs. Must be called only while no other leader can act. */
    fun dispatchDue(now: Long) {
        if (now >= sweepDueAt) {
            sweepDueAt = now + SWEEP_PERIOD_MILLIS
            workers.takeTouched()
            workers.all.toList().forEach { callScheduler.sendDueCalls(it, now) }
            workers.removeIdle(now)
        } else {
            workers.takeTouched().forEach { callScheduler.sendDueCalls(it, now) }
        }
        if (now >= startedJobsDueAt) proposeStartedJobs(now)
        loads.refresh(now) { workers.all.filter { workers.isPresent(it, state.drainedZones, now) } }
        val changes = workers.changes + runs.removals
        if (planner.isUnfinished || planRequested || changes != lastPlannedChanges || now >= planDueAt) plan(now)
        eligibility.takeDueRequests(now).forEach { effects.ask(it) }
    }

    /** The next leader learns only from the log of a job that has started on a worker that is lost together with this leader. */
    private fun proposeStartedJobs(now: Long) {
        startedJobsDueAt = now + STARTED_JOBS_PERIOD_MILLIS
        val jobs = runs.takeStartedJobs()
        if (jobs.isNotEmpty()) effects.propose(FlowCommand.Ended(emptyList(), now, startedJobs = jobs))
    }

    private fun plan(now: Long) {
        // Their starts are all sent in the turn in which they are committed, which must stay short.
        if (runs.proposedCount >= MAX_PROPOSED_RUNS) return
        // What changes during a pass is seen by the next one.
        if (!planner.isUnfinished) {
            planRequested = false
            if (now >= planDueAt) eligibility.retain { isUnfinished(it) }
            planDueAt = now + PLAN_PERIOD_MILLIS
            lastPlannedChanges = workers.changes + runs.removals
        }
        val configuration = state.configuration ?: return
        limitBound.update(now) { workers.all.filter { workers.isPresent(it, state.drainedZones, now) } }
        val planned = planner.plan(configuration, now) { usableWorkers(now) }
        if (planned.isEmpty()) return
        planned.forEach { runs.track(it.assignment.run, it.worker, RunStage.PROPOSED, it.ticket, now) }
        planned.groupBy { StepKey(it.assignment.run.task.job, it.assignment.run.task.step) }.forEach { (step, placed) ->
            logAssigned(step, placed)
        }
        effects.propose(FlowCommand.Assign(planned.map { it.assignment }))
    }

    private fun usableWorkers(now: Long) = workers.all.filter { workers.isUsable(it, state.drainedZones, now) }

    private fun isUnfinished(step: StepKey): Boolean {
        val job = state.job(step.job) ?: return false
        return !job.phase.isFinal && !job.steps[step.step].isDone
    }

    private fun logAssigned(
        step: StepKey,
        placed: List<PlannedRun>,
    ) {
        val placements =
            placed.joinToString(",", limit = MAX_LOGGED_PLACEMENTS, truncated = "and ${placed.size - MAX_LOGGED_PLACEMENTS} more") {
                val run = it.assignment.run
                "${run.task.index}:${run.number}@${it.worker.incarnation}"
            }
        effects.logEvent(
            DispatchEvent.RUNS_ASSIGNED,
            step.toString(),
            "waited=${placed.first().waitedMillis}ms tier=${placed.first().tier} runs=$placements",
            placed.first().waitedMillis,
        )
    }

    private companion object {
        const val PLAN_PERIOD_MILLIS = 100L

        /** Runs whose assignment is not committed yet, from which on no more are planned; a plan may exceed it once. */
        const val MAX_PROPOSED_RUNS = 1_000

        /** Runs of a step that one line of the event log names; each has a line of its own when it starts. */
        const val MAX_LOGGED_PLACEMENTS = 50

        /** Period at which started jobs are recorded, well below the allowed age of the count of pending jobs. */
        const val STARTED_JOBS_PERIOD_MILLIS = 500L

        /** Period at which all workers are checked for due calls; between two checks, only those that something happened to. */
        const val SWEEP_PERIOD_MILLIS = 20L
    }
}
