package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job
import rhubarbknot.flow.state.JobPhase

/** Updates the run, worker and statistics records after a command of the replicated log has been applied. */
internal class AppliedCommandHandler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val durations: RunDurationEstimator,
    private val failures: StepFailures,
    private val repeated: RepeatedFailures,
    private val effects: EffectBuffer,
) {
    private val loggedJobs = LinkedHashSet<String>()
    private val endReasons = RunEndReasons()

    /** Handles [command], which was applied with [outcome]. */
    fun handle(
        command: FlowCommand,
        outcome: FlowOutcome,
        now: Long,
    ) {
        when (command) {
            is FlowCommand.Assign -> handleAssigned(command, (outcome as FlowOutcome.Assigned).runs, now)
            is FlowCommand.Ended -> {
                command.crash?.let { handleCrash(it) }
                command.ends.forEach { handleRunEnd(it, now) }
                command.worker?.let { acknowledgeEnds(it, command.upTo, now) }
            }
            is FlowCommand.Cancel -> runs.stopJobRuns(command.job)
            else -> Unit
        }
    }

    private fun handleAssigned(
        command: FlowCommand.Assign,
        accepted: List<Assignment>,
        now: Long,
    ) {
        val acceptedRuns = accepted.toHashSet()
        command.runs.forEach { assignment ->
            val record = runs.of(assignment.run) ?: return@forEach
            if (assignment !in acceptedRuns) {
                runs.untrack(record)
                return@forEach
            }
            runs.markCommitted(record)
            workers.touch(record.worker)
            record.committedAt = now
            if (record.run.number > 1) logRestarted(record, now)
            if (record.worker.terminated) runs.markRunsLost(record.worker, now, "worker ended before the start")
        }
    }

    private fun logRestarted(
        record: RunRecord,
        now: Long,
    ) {
        val previous = endReasons.take(record.run.task)
        val reason =
            if (previous == null) {
                "previous=unknown to this leader"
            } else {
                "previous=${previous.number}@${previous.worker} how=${previous.outcome} " +
                    "cause=${previous.cause.ifEmpty { "listed by its worker" }} ended=${now - previous.at}ms"
            }
        val detail = "run=${record.run.number} worker=${record.worker.incarnation} $reason"
        effects.logEvent(DispatchEvent.RUN_RESTARTED, record.run.task.toString(), detail)
    }

    private fun handleRunEnd(
        end: RunEnd,
        now: Long,
    ) {
        val record = runs.of(end.run)
        if (record != null) {
            runs.untrack(record)
            endReasons.record(record, end, now)
            workers.touch(record.worker)
            val commitMillis = if (record.endListedAt > 0) now - record.endListedAt else 0
            effects.logEvent(
                DispatchEvent.RUN_ENDED,
                end.run.task.toString(),
                "run=${end.run.number} how=${end.ending} worker=${record.worker.incarnation} " +
                    "after=${now - record.proposedAt}ms committed=${commitMillis}ms",
                commitMillis,
            )
            recordOutcome(record, end, now)
        }
        val job = state.job(end.run.task.job) ?: return forgetFailures(end.run.task.job)
        if (job.phase.isFinal) {
            endFinishedJob(job)
        } else if (job.request.steps[end.run.task.step].gang) {
            runs.stopGang(end.run, onlyUnstarted = end.ending == RunOutcome.DONE)
        }
    }

    private fun handleCrash(crash: WorkerCrash) {
        val jobs =
            crash.runs
                .map { it.task.job }
                .distinct()
                .mapNotNull { state.job(it) }
        jobs.filter { it.phase == JobPhase.FAILED }.forEach { endFinishedJob(it, cause = " cause=its task crashed several workers") }
    }

    private fun endFinishedJob(
        job: Job,
        cause: String = "",
    ) {
        logJobFinished(job, cause)
        runs.stopJobRuns(job.id)
        forgetFailures(job.id)
    }

    private fun forgetFailures(job: String) {
        failures.removeJob(job)
        repeated.removeJob(job)
    }

    private fun logJobFinished(
        job: Job,
        cause: String,
    ) {
        if (!loggedJobs.add(job.id)) return
        if (loggedJobs.size > MAX_LOGGED_JOBS) loggedJobs.remove(loggedJobs.first())
        val durationMillis = job.finishedAtMillis - job.acceptedAtMillis
        effects.logEvent(
            DispatchEvent.JOB_OVER,
            job.id,
            "phase=${job.phase} queue=${job.request.queue} team=${job.request.team} took=${durationMillis}ms$cause",
            durationMillis,
        )
    }

    private fun recordOutcome(
        record: RunRecord,
        end: RunEnd,
        now: Long,
    ) {
        val worker = record.worker
        when (end.ending) {
            RunOutcome.DONE -> {
                worker.trust.recordSuccess()
                if (record.spec.lasting) repeated.recordLasting(failingTask(record), record.ranMillis(now), now)
                val isRepresentative = end.run.number == 1 && !record.spec.gang && !record.spec.lasting
                if (isRepresentative && record.endListedAt > 0 && record.confirmedAt < record.endListedAt) {
                    durations.learn(record.queue, record.spec, record.endListedAt - record.confirmedAt)
                }
            }
            RunOutcome.FAILED -> recordFailure(record, now)
            else -> Unit
        }
    }

    private fun recordFailure(
        record: RunRecord,
        now: Long,
    ) {
        val worker = record.worker
        val task = failingTask(record)
        failures.record(task, worker.incarnation, now)
        val isRepeat = if (record.spec.lasting) repeated.recordLasting(task, record.ranMillis(now), now) else repeated.record(task, now)
        if (!worker.trust.recordFailure(record, isRepeat, now, until = now + settings.distrustMillis)) return
        val detail = "why=failures of several jobs for=${settings.distrustMillis}ms"
        effects.logEvent(DispatchEvent.WORKER_DISTRUSTED, worker.incarnation.toString(), detail)
    }

    /** The task that a failure of [record] counts for: a gang fails as a whole, whichever member fails first. */
    private fun failingTask(record: RunRecord): TaskId = if (record.spec.gang) record.run.task.copy(index = 0) else record.run.task

    /** Ends up to [number] of [incarnation] are committed; the next renewal acknowledges them so that the worker can drop them. */
    private fun acknowledgeEnds(
        incarnation: WorkerIncarnation,
        number: Long,
        now: Long,
    ) {
        val worker = workers[incarnation] ?: return
        worker.lastCommittedEnd = maxOf(worker.lastCommittedEnd, number)
        worker.renewDueAt = minOf(worker.renewDueAt, now)
        workers.touch(worker)
    }

    private companion object {
        /** Finished jobs remembered so that each is logged once; further ends of a finished job arrive soon after it finishes. */
        const val MAX_LOGGED_JOBS = 2_000
    }
}
