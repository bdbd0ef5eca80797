package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job

/** Takes in what the log brings: runs that may be started now, ends that count now, cancellations. */
internal class AppliedCommandHandler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val times: RunDurationEstimator,
    private val failures: StepFailures,
    private val out: EffectBuffer,
) {
    private val told = LinkedHashSet<String>()

    /** [command] was applied with [outcome]. */
    fun applied(
        command: FlowCommand,
        outcome: FlowOutcome,
        now: Long,
    ) {
        when (command) {
            is FlowCommand.Assign -> assigned(command, (outcome as FlowOutcome.Assigned).runs, now)
            is FlowCommand.Ended -> {
                command.ends.forEach { ended(it, now) }
                command.worker?.let { seen(it, command.upTo, now) }
            }
            is FlowCommand.Cancel -> runs.stopAllOf(command.job)
            else -> Unit
        }
    }

    private fun assigned(
        command: FlowCommand.Assign,
        accepted: List<Assignment>,
        now: Long,
    ) {
        val wanted = accepted.toHashSet()
        command.runs.forEach { assignment ->
            val record = runs.of(assignment.run) ?: return@forEach
            if (assignment !in wanted) {
                runs.untrack(record)
                return@forEach
            }
            record.stage = RunStage.STARTING
            record.committedAt = now
            if (record.worker.over) runs.giveUpOn(record.worker, now)
        }
    }

    private fun ended(
        end: RunEnd,
        now: Long,
    ) {
        val record = runs.of(end.run)
        if (record != null) {
            runs.untrack(record)
            val committed = if (record.listedAt > 0) now - record.listedAt else 0
            out.note(
                DispatchEvent.RUN_ENDED,
                end.run.task.toString(),
                "run=${end.run.number} how=${end.ending} worker=${record.worker.life.id} " +
                    "after=${now - record.proposedAt}ms committed=${committed}ms",
                committed,
            )
            learn(record, end, now)
        }
        val job = state.job(end.run.task.job) ?: return
        if (job.phase.isFinal) {
            noteOver(job)
            runs.stopAllOf(job.id)
            failures.forget(job.id)
        } else if (job.request.steps[end.run.task.step].gang) {
            runs.stopGangOf(end.run, onlyUnstarted = end.ending == RunOutcome.DONE)
        }
    }

    private fun noteOver(job: Job) {
        if (!told.add(job.id)) return
        if (told.size > MOST_TOLD) told.remove(told.first())
        val took = job.finishedAtMillis - job.acceptedAtMillis
        out.note(
            DispatchEvent.JOB_OVER,
            job.id,
            "phase=${job.phase} queue=${job.request.queue} team=${job.request.team} took=${took}ms",
            took,
        )
    }

    private fun learn(
        record: RunRecord,
        end: RunEnd,
        now: Long,
    ) {
        val worker = record.worker
        when (end.ending) {
            RunOutcome.DONE -> {
                worker.trust.done()
                val plain = end.run.number == 1 && !record.spec.gang && !record.spec.lasting
                if (plain && record.listedAt > 0 && record.confirmedAt < record.listedAt) {
                    times.learn(record.queue, record.spec, record.listedAt - record.confirmedAt)
                }
            }
            RunOutcome.FAILED -> {
                failures.failed(end.run.task, worker.life)
                if (worker.trust.failed(end.run.task.job, now + settings.distrustMillis)) {
                    out.note(
                        DispatchEvent.WORKER_DISTRUSTED,
                        worker.life.id,
                        "why=failures of several jobs for=${settings.distrustMillis}ms",
                    )
                }
            }
            else -> Unit
        }
    }

    /** Ends up to [number] of [life] are committed, so the worker may forget them. */
    private fun seen(
        life: WorkerIncarnation,
        number: Long,
        now: Long,
    ) {
        val worker = workers[life] ?: return
        worker.seen = maxOf(worker.seen, number)
        worker.renewDueAt = minOf(worker.renewDueAt, now)
    }

    private companion object {
        /** Jobs remembered as told about; ends of a job that is over come soon after it. */
        const val MOST_TOLD = 2_000
    }
}
