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
    private val countByStep = HashMap<StepKey, Int>()

    /** Jobs of which a run is known to have started, which is not proposed to the log yet. */
    private val startedJobs = LinkedHashSet<String>()

    /** Number of runs removed so far; a change means that resources may have become free. */
    var removals = 0L
        private set

    fun of(task: TaskId): RunRecord? = byTask[task]

    /** The record of exactly this run, not of an earlier or later run of the same task. */
    fun of(run: RunId): RunRecord? = byTask[run.task]?.takeIf { it.run == run }

    /** All tracked runs of [step]. */
    fun ofStep(step: StepKey): List<RunRecord> = byJob[step.job].orEmpty().filter { it.run.task.step == step.step }

    /** Number of tracked runs of [step]. */
    fun countOfStep(step: StepKey): Int = countByStep[step] ?: 0

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
        val isSuspect = job.steps[run.task.step].isCrashSuspect
        val record = RunRecord(run, job.request.team, job.request.queue, step, worker, stage, ticket, proposedAt, isSuspect)
        byTask.put(run.task, record)?.let { changeCount(it, -1) }
        changeCount(record, 1)
        byJob.getOrPut(job.id) { LinkedHashSet() }.add(record)
        worker.add(record)
        usage.add(record.team, record.demand)
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
        changeCount(record, -1)
        byJob[record.run.task.job]?.let { jobRuns ->
            jobRuns.remove(record)
            if (jobRuns.isEmpty()) byJob.remove(record.run.task.job)
        }
        record.worker.remove(record)
        usage.remove(record.team, record.demand)
        removals++
    }

    private fun changeCount(
        record: RunRecord,
        change: Int,
    ) {
        countByStep.merge(StepKey(record.run.task.job, record.run.task.step), change) { a, b -> (a + b).takeIf { it > 0 } }
    }

    fun stopJobRuns(job: String) {
        byJob[job]?.forEach { it.stopWanted = true }
    }

    /** Stops the other runs of the gang of [ended]. With [onlyUnstarted], started runs continue, since they finish on their own. */
    fun stopGang(
        ended: RunId,
        onlyUnstarted: Boolean,
    ) {
        byJob[ended.task.job]
            ?.filter { it.run.task.step == ended.task.step && it.run.number == ended.number }
            ?.filter { !onlyUnstarted || it.stage == RunStage.STARTING }
            ?.forEach { it.stopWanted = true }
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
