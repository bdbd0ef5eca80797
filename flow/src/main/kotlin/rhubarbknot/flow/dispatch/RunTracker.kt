package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState

/** The runs that may exist, by task and by job, with what each team may have running. */
internal class RunTracker(
    private val state: FlowState,
    private val use: TeamUsage,
    private val out: EffectBuffer,
) {
    private val byTask = HashMap<TaskId, RunRecord>()
    private val byJob = HashMap<String, LinkedHashSet<RunRecord>>()

    /** How often a run was forgotten: room may have become free. */
    var departures = 0L
        private set

    fun of(task: TaskId): RunRecord? = byTask[task]

    /** The record of just this run, not of an earlier or later one of its task. */
    fun of(run: RunId): RunRecord? = byTask[run.task]?.takeIf { it.run == run }

    /** Runs of the tasks of [step]. */
    fun ofStep(step: StepKey): List<RunRecord> = byJob[step.job].orEmpty().filter { it.run.task.step == step.step }

    /** Starts to count [run], on [worker]; does nothing when its job is not known. */
    fun track(
        run: RunId,
        worker: WorkerRecord,
        stage: RunStage,
        ticket: Ticket?,
        proposedAt: Long,
    ) {
        val job = state.job(run.task.job) ?: return
        val step = job.request.steps[run.task.step]
        val record = RunRecord(run, job.request.team, job.request.queue, step, worker, stage, ticket, proposedAt)
        byTask[run.task] = record
        byJob.getOrPut(job.id) { LinkedHashSet() }.add(record)
        worker.add(record)
        use.add(record.team, record.demand)
        if (job.phase.isFinal) record.stopWanted = true
    }

    fun untrack(record: RunRecord) {
        if (byTask[record.run.task] !== record) return
        byTask.remove(record.run.task)
        byJob[record.run.task.job]?.let { ofJob ->
            ofJob.remove(record)
            if (ofJob.isEmpty()) byJob.remove(record.run.task.job)
        }
        record.worker.remove(record)
        use.remove(record.team, record.demand)
        departures++
    }

    fun stopAllOf(job: String) {
        byJob[job]?.forEach { it.stopWanted = true }
    }

    /** Stops the other members of the gang that [ended] belonged to; [onlyUnstarted] when the gang is done, which the rest will say. */
    fun stopGangOf(
        ended: RunId,
        onlyUnstarted: Boolean,
    ) {
        byJob[ended.task.job]
            ?.filter { it.run.task.step == ended.task.step && it.run.number == ended.number }
            ?.filter { !onlyUnstarted || it.stage == RunStage.STARTING }
            ?.forEach { it.stopWanted = true }
    }

    /** Looks for the runs of [earlier] on [later], the next life of the same worker. */
    fun moveTo(
        later: WorkerRecord,
        earlier: WorkerRecord,
    ) {
        earlier.runs.values.toList().forEach { run ->
            earlier.remove(run)
            run.moveTo(later)
            later.add(run)
        }
    }

    /** Ends every run on [worker], which surely runs nothing any more. */
    fun giveUpOn(
        worker: WorkerRecord,
        now: Long,
    ) {
        val lost = worker.runs.values.filter { it.stage != RunStage.PROPOSED && !it.ending }
        if (lost.isEmpty()) return
        lost.forEach { it.ending = true }
        out.propose(FlowCommand.Ended(lost.map { RunEnd(it.run, RunOutcome.LOST, it.checkpoint) }, now))
        lost.forEach { out.note(DispatchEvent.RUN_LOST, it.run.task.toString(), "run=${it.run.number} worker=${worker.life.id}") }
    }

    /** Ends a run that was never started and never will be. */
    fun giveBack(
        record: RunRecord,
        now: Long,
    ) {
        if (record.ending) return
        record.ending = true
        out.propose(FlowCommand.Ended(listOf(RunEnd(record.run, RunOutcome.REJECTED)), now))
    }
}
