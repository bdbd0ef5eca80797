package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState

/**
 * The leader's dealings with workers during one term, as a pure state machine.
 *
 * A run is started only after the log holds where it may be. Before anything is decided about a worker it is shown
 * this term's fencing token and asked what runs and what ended there. A call without an answer is sent again or
 * stopped; work is given to another worker only once the first surely does not run it: it said so, it is another
 * life, or the latest deadline that any leader can have granted is over on its clock.
 */
class Dispatcher(
    private val state: FlowState,
    settings: DispatchSettings,
    term: Long,
    startedAt: Long,
) {
    private val out = EffectBuffer()
    private val use = TeamUsage()
    private val times = RunDurationEstimator()
    private val failures = StepFailures()
    private val eligibility = EligibilityTracker()
    private val runs = RunTracker(state, use, out)
    private val workers = WorkerTracker(settings, startedAt, runs, out)
    private val orders = WorkerCallScheduler(state, settings, term, runs, workers, LeaseManager(settings), out)
    private val replies =
        WorkerReplyHandler(state, settings, term, runs, workers, eligibility, ProgressMonitor(settings, times, runs, out), out)
    private val log = AppliedCommandHandler(state, settings, runs, workers, times, failures, out)
    private val queue = WorkQueue(state, times)
    private val planner = Planner(queue, StepPlacer(eligibility, use, failures), runs, use, out)
    private var planDueAt = 0L
    private var planWanted = true
    private var seenChanges = -1L

    init {
        state.occupiedWorkers.toList().forEach { life ->
            val worker = workers.getOrAdd(life)
            state.runsOn(life).forEach { (task, number) -> runs.track(RunId(task, number), worker, RunStage.INHERITED, null, startedAt) }
        }
    }

    /** Workers that may be given work now, and all that are known; for status pages. */
    fun workerCounts(now: Long): Pair<Int, Int> = workers.all.count { workers.isUsable(it, state.drainedZones, now) } to workers.all.size

    /** Everything to be done since the last call. */
    fun drain(): List<DispatchEffect> = out.drain()

    /** The hosts that may put questions to the eligibility service now. */
    fun setEligibilityCallers(names: Collection<String>) = eligibility.setCallers(names)

    /** A worker said something of itself; [report] may be old. */
    fun workerReported(
        report: WorkerReport,
        now: Long,
    ) = workers.reported(report, now)

    /** The worker called [id] said that it ends now. */
    fun workerLeft(
        id: String,
        now: Long,
    ) = workers.left(id, now)

    /** [command] was applied with [outcome]. */
    fun commandApplied(
        command: FlowCommand,
        outcome: FlowOutcome,
        now: Long,
    ) {
        planWanted = true
        if (command is FlowCommand.Submit) queue.submitted(command.request.id, command.request.team, now)
        log.applied(command, outcome, now)
    }

    /** [reply] to [call], which was sent at [sentAt]. */
    fun workerReplied(
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long,
        now: Long,
    ) = replies.replied(call, reply, sentAt, now)

    /** An answer of the eligibility service. */
    fun eligibilityReplied(
        reply: EligibilityReply,
        now: Long,
    ) {
        if (eligibility.answered(reply, now) != null) planWanted = true
    }

    /** Sends what is due. To be called only while no other leader can act. */
    fun dispatchDue(now: Long) {
        workers.all.toList().forEach { orders.attend(it, now) }
        workers.forgetIdle(now)
        val changes = workers.changes + runs.departures
        if (planWanted || changes != seenChanges || now >= planDueAt) plan(now)
        eligibility.due(now).forEach { out.ask(it) }
    }

    private fun plan(now: Long) {
        planWanted = false
        planDueAt = now + PLAN_PERIOD_MILLIS
        seenChanges = workers.changes + runs.departures
        eligibility.retain { key -> state.job(key.job)?.let { !it.phase.isFinal && !it.steps[key.step].isDone } ?: false }
        val configuration = state.configuration ?: return
        val usable = workers.all.filter { workers.isUsable(it, state.drainedZones, now) }
        val planned = planner.plan(configuration, usable, now)
        if (planned.isEmpty()) return
        planned.forEach { runs.track(it.assignment.run, it.worker, RunStage.PROPOSED, it.ticket, now) }
        planned.groupBy { StepKey(it.assignment.run.task.job, it.assignment.run.task.step) }.forEach { (step, placed) ->
            noteAssigned(step, placed)
        }
        out.propose(FlowCommand.Assign(planned.map { it.assignment }))
    }

    private fun noteAssigned(
        step: StepKey,
        placed: List<PlannedRun>,
    ) {
        val places =
            placed.joinToString(",") {
                val run = it.assignment.run
                "${run.task.index}:${run.number}@${it.worker.life.id}"
            }
        out.note(
            DispatchEvent.RUNS_ASSIGNED,
            step.toString(),
            "waited=${placed.first().waitedMillis}ms tier=${placed.first().tier} runs=$places",
            placed.first().waitedMillis,
        )
    }

    private companion object {
        const val PLAN_PERIOD_MILLIS = 100L
    }
}
