package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState

/** Indexes the runs that may exist by task and by job, and keeps the resource usage of teams up to date. */
internal class RunTracker(
    private val state: FlowState,
    private val usage: TeamUsage,
    private val effects: EffectBuffer,
) {
    private val byTask = HashMap<TaskId, RunRecord>()
    private val byJob = HashMap<String, LinkedHashSet<RunRecord>>()
    private val byStep = HashMap<StepKey, StepRuns>()

    /** Jobs of which a run is known to have started, which is not proposed to the log yet. */
    private val startedJobs = LinkedHashSet<String>()

    /** Number of tracked runs whose assignment is not committed yet. */
    var proposedCount = 0
        private set

    /** Number of runs removed so far; a change means that resources may have become free. */
    var removals = 0L
        private set

    fun of(task: TaskId): RunRecord? = byTask[task]

    /** The record of exactly this run, not of an earlier or later run of the same task. */
    fun of(run: RunId): RunRecord? = byTask[run.task]?.takeIf { it.run == run }

    /** All tracked runs of [step]; null for none. */
    fun ofStep(step: StepKey): StepRuns? = byStep[step]

    /** Tracks [run] on [worker]; does nothing when its job is unknown. */
    fun track(
        run: RunId,
        worker: WorkerRecord,
        stage: RunStage,
        ticket: Ticket?,
        proposedAt: Long,
    ) {
        val job = state.job(run.task.job) ?: return
        val step = job.request.steps[run.task.step]
        val isSuspect = job.isCrashSuspect(run.task.step)
        val record = RunRecord(run, job.request.team, job.request.queue, step, worker, stage, ticket, proposedAt, isSuspect)
        byTask.put(run.task, record)?.let { removeFromStep(it) }
        if (stage == RunStage.PROPOSED) proposedCount++
        byStep.getOrPut(StepKey(job.id, run.task.step)) { StepRuns() }.add(record)
        byJob.getOrPut(job.id) { LinkedHashSet() }.add(record)
        worker.add(record)
        usage.add(record.team, record.demand, record.spec.lasting)
        if (job.phase.isFinal) record.stopWanted = true
    }

    /** Records that the worker of [record] has confirmed or listed it. */
    fun markStarted(record: RunRecord) {
        val job = state.job(record.run.task.job) ?: return
        if (job.isPending) startedJobs += job.id
    }

    /** Returns the jobs that have started since the last call, to be proposed to the log. */
    fun takeStartedJobs(): List<String> {
        if (startedJobs.isEmpty()) return emptyList()
        val taken = startedJobs.filter { state.job(it)?.isPending == true }
        startedJobs.clear()
        return taken
    }

    fun untrack(record: RunRecord) {
        if (byTask[record.run.task] !== record) return
        byTask.remove(record.run.task)
        removeFromStep(record)
        byJob[record.run.task.job]?.let { jobRuns ->
            jobRuns.remove(record)
            if (jobRuns.isEmpty()) byJob.remove(record.run.task.job)
        }
        record.worker.remove(record)
        usage.remove(record.team, record.demand, record.spec.lasting)
        removals++
    }

    private fun removeFromStep(record: RunRecord) {
        val key = StepKey(record.run.task.job, record.run.task.step)
        if (record.stage == RunStage.PROPOSED) proposedCount--
        val stepRuns = byStep[key] ?: return
        stepRuns.remove(record)
        if (stepRuns.isEmpty) byStep.remove(key)
    }

    /** Records that the assignment of [record] is committed. */
    fun markCommitted(record: RunRecord) {
        if (record.stage == RunStage.PROPOSED) proposedCount--
        record.stage = RunStage.STARTING
        byStep[StepKey(record.run.task.job, record.run.task.step)]?.committed(record)
    }

    fun stopJobRuns(job: String) {
        byJob[job]?.forEach { it.stopWanted = true }
    }

    /** Stops the other runs of the gang of [ended]. With [onlyUnstarted], started runs continue, since they finish on their own. */
    fun stopGang(
        ended: RunId,
        onlyUnstarted: Boolean,
    ) {
        val members = byStep[StepKey(ended.task.job, ended.task.step)] ?: return
        if (members.isGangStopped(ended.number, onlyUnstarted)) return
        members.records
            .filter { it.run.number == ended.number && (!onlyUnstarted || it.stage == RunStage.STARTING) }
            .forEach { it.stopWanted = true }
    }

    /** Moves the runs of [predecessor] to [successor], the next incarnation of the same worker. */
    fun moveRuns(
        successor: WorkerRecord,
        predecessor: WorkerRecord,
    ) {
        predecessor.runs.values.toList().forEach { run ->
            predecessor.remove(run)
            run.moveTo(successor)
            successor.add(run)
        }
    }

    /**
     * Proposes the committed runs on [worker] as lost because of [cause], with the [crash] of the worker, if any; the worker is
     * guaranteed to run nothing any more.
     */
    fun markRunsLost(
        worker: WorkerRecord,
        now: Long,
        cause: String,
        crash: WorkerCrash? = null,
    ) {
        val lost = worker.runs.values.filter { it.stage != RunStage.PROPOSED && !it.ending }
        if (lost.isEmpty() && crash == null) return
        lost.forEach {
            it.ending = true
            it.endCause = cause
        }
        effects.propose(FlowCommand.Ended(lost.map { RunEnd(it.run, RunOutcome.LOST, it.checkpoint) }, now, crash = crash))
        lost.forEach {
            effects.logEvent(
                DispatchEvent.RUN_LOST,
                it.run.task.toString(),
                "run=${it.run.number} worker=${worker.incarnation} cause=$cause ${RunBeliefs.describeLoss(it, worker, now)}",
            )
        }
    }

    /** Proposes the end of a run that was never started and never will be, because of [cause]. */
    fun rejectRun(
        record: RunRecord,
        now: Long,
        cause: String = "never started",
    ) {
        if (record.ending) return
        record.ending = true
        record.endCause = cause
        effects.propose(FlowCommand.Ended(listOf(RunEnd(record.run, RunOutcome.REJECTED)), now))
    }
}
