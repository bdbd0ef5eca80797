package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState

/** Takes in what workers answer to calls of this leader's. */
internal class WorkerReplyHandler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val term: Long,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val eligibility: EligibilityTracker,
    private val watch: ProgressMonitor,
    private val out: EffectBuffer,
) {
    /** [reply] to [call], which was sent at [sentAt]. */
    fun replied(
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long,
        now: Long,
    ) {
        val worker = workers[call.worker] ?: return
        heard(worker, reply, now)
        when (call) {
            is WorkerCall.Start -> startReplied(call, reply, now)
            is WorkerCall.Stop -> stopReplied(call, reply, now)
            is WorkerCall.Renew -> renewReplied(worker, call, reply, sentAt, now)
        }
    }

    private fun heard(
        worker: WorkerRecord,
        reply: WorkerReply,
        now: Long,
    ) {
        val clock =
            when (reply) {
                is WorkerReply.Done -> reply.clockMillis
                is WorkerReply.Refused -> reply.clockMillis
                is WorkerReply.Runs -> reply.clockMillis
                WorkerReply.NotSent, WorkerReply.NoResponse -> {
                    unanswered(worker)
                    return
                }
            }
        if (worker.unanswered > UNANSWERED_TO_NOTE) out.note(DispatchEvent.WORKER_REGAINED, worker.life.id)
        worker.unanswered = 0
        val refusal = (reply as? WorkerReply.Refused)?.reason
        if (refusal == RefusalReason.OTHER_LIFE) {
            workers.over(worker, now, "another life answers at its address")
            return
        }
        if (refusal == RefusalReason.FENCED) out.note(DispatchEvent.FENCED_OUT, worker.life.id, "term=$term")
        if (clock != null) worker.readClock(clock, now)
    }

    private fun unanswered(worker: WorkerRecord) {
        if (worker.unanswered++ == UNANSWERED_TO_NOTE) {
            out.note(DispatchEvent.WORKER_UNREACHABLE, worker.life.id, "unanswered=${worker.unanswered}")
        }
    }

    private fun startReplied(
        call: WorkerCall.Start,
        reply: WorkerReply,
        now: Long,
    ) {
        val record = runs.of(call.run) ?: return
        record.callInFlight = false
        // Once the worker has listed the run, what it said to an earlier or a repeated start tells nothing new.
        if (record.stage != RunStage.STARTING) return
        when (reply) {
            is WorkerReply.Done -> started(record, now)
            is WorkerReply.Refused -> startRefused(record, reply.reason, now)
            is WorkerReply.Runs -> Unit
            WorkerReply.NotSent -> if (record.uncertain) record.retryAt = now + settings.retryMillis else runs.giveBack(record, now)
            WorkerReply.NoResponse -> {
                record.uncertain = true
                record.retryAt = now + RESEND_MILLIS
                out.note(
                    DispatchEvent.START_UNANSWERED,
                    record.run.task.toString(),
                    "run=${record.run.number} worker=${record.worker.life.id}",
                )
            }
        }
    }

    private fun started(
        record: RunRecord,
        now: Long,
    ) {
        record.stage = RunStage.RUNNING
        record.uncertain = false
        record.confirmedAt = now
        out.note(
            DispatchEvent.RUN_STARTED,
            record.run.task.toString(),
            "run=${record.run.number} worker=${record.worker.life.id} " +
                "committed=${record.committedAt - record.proposedAt}ms after=${now - record.proposedAt}ms",
            now - record.proposedAt,
        )
        record.worker.renewDueAt = minOf(record.worker.renewDueAt, now)
    }

    private fun startRefused(
        record: RunRecord,
        reason: RefusalReason,
        now: Long,
    ) {
        out.note(
            DispatchEvent.RUN_REFUSED,
            record.run.task.toString(),
            "run=${record.run.number} worker=${record.worker.life.id} reason=$reason",
        )
        record.retryAt = now + settings.retryMillis
        when (reason) {
            RefusalReason.LATE, RefusalReason.FENCED -> return
            RefusalReason.UNHEALTHY -> record.worker.trust.distrust(now + settings.distrustMillis)
            RefusalReason.TICKET -> eligibility.refused(StepKey(record.run.task.job, record.run.task.step), record.worker.life)
            RefusalReason.NO_ROOM -> record.worker.trust.pause(now + settings.retryMillis)
            else -> Unit
        }
        // A copy of this start may still be on its way: only a stop makes sure that it comes to nothing.
        if (record.uncertain) record.stopWanted = true else runs.giveBack(record, now)
    }

    private fun stopReplied(
        call: WorkerCall.Stop,
        reply: WorkerReply,
        now: Long,
    ) {
        val record = runs.of(call.run) ?: return
        record.callInFlight = false
        record.retryAt = now + settings.retryMillis
        if (reply is WorkerReply.Done || (reply is WorkerReply.Refused && reply.reason == RefusalReason.OLD_RUN)) {
            record.stoppedAt = now
            record.worker.renewDueAt = minOf(record.worker.renewDueAt, now)
        }
    }

    private fun renewReplied(
        worker: WorkerRecord,
        call: WorkerCall.Renew,
        reply: WorkerReply,
        sentAt: Long,
        now: Long,
    ) {
        worker.renewInFlight = false
        if (reply !is WorkerReply.Runs) {
            worker.renewDueAt = now + if (reply == WorkerReply.NoResponse && worker.unanswered <= 1) RESEND_MILLIS else settings.retryMillis
            return
        }
        worker.renewDueAt = now
        if (reply.born != null && reply.born != worker.life.born) {
            if (reply.born > worker.life.born) workers.bornAnew(worker, worker.life.copy(born = reply.born), now)
            return
        }
        worker.listedAt = now
        if (!worker.fenced) {
            workers.fenced(worker)
            val lists = "running=${reply.running.size} ended=${reply.ended.size}"
            out.note(DispatchEvent.WORKER_FENCED, worker.life.id, "term=$term $lists")
        }
        worker.acknowledged = maxOf(worker.acknowledged, call.lastSeen)
        takeRunning(worker, reply, now)
        takeEnds(worker, reply, now)
        takeMissing(worker, reply, sentAt, now)
        watch.look(worker, now)
    }

    private fun takeRunning(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        now: Long,
    ) {
        reply.running.forEach { running ->
            val record = runs.of(running.run)
            if (record != null && record.worker === worker) {
                listed(record, running, now)
            } else if (state.runsOn(worker.life)[running.run.task] != running.run.number) {
                val address = worker.report?.address ?: return@forEach
                out.call(WorkerCall.Stop(worker.life, address, term, running.run), settings.callTimeoutMillis)
            }
        }
    }

    private fun listed(
        record: RunRecord,
        running: RunningRun,
        now: Long,
    ) {
        if (running.checkpoint.isNotEmpty()) record.checkpoint = running.checkpoint
        record.progress.read(running.percent, now)
        if (record.stage == RunStage.STARTING || record.stage == RunStage.INHERITED) {
            record.stage = RunStage.RUNNING
            record.uncertain = false
            record.confirmedAt = minOf(record.confirmedAt, now)
        }
    }

    private fun takeEnds(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        now: Long,
    ) {
        val fresh = reply.ended.filter { it.number > worker.proposedSeen }
        if (fresh.isEmpty()) return
        worker.proposedSeen = fresh.maxOf { it.number }
        fresh.forEach { numbered -> runs.of(numbered.end.run)?.listed(now) }
        out.propose(FlowCommand.Ended(fresh.map { it.end }, now, worker.life, worker.proposedSeen))
    }

    private fun takeMissing(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        sentAt: Long,
        now: Long,
    ) {
        // A full list of ends may leave out the end of a run that is missing here.
        if (reply.ended.size >= MOST_ENDS_LISTED) return
        val listed = reply.running.mapTo(HashSet()) { it.run }
        val missing = worker.runs.values.filter { run -> !run.ending && run.run !in listed && isSurelyKnown(run, sentAt) }
        if (missing.isEmpty()) return
        missing.forEach { it.ending = true }
        val ends = missing.map { RunEnd(it.run, if (it.stopAcknowledged) RunOutcome.STOPPED else RunOutcome.LOST, it.checkpoint) }
        out.propose(FlowCommand.Ended(ends, now))
        missing.forEach {
            out.note(DispatchEvent.RUN_LOST, it.run.task.toString(), "run=${it.run.number} worker=${worker.life.id} not listed")
        }
    }

    /** Whether a list that was asked for at [sentAt] must hold [run], if it is at work or about to be. */
    private fun isSurelyKnown(
        run: RunRecord,
        sentAt: Long,
    ): Boolean =
        when {
            run.stage == RunStage.PROPOSED -> false
            run.stopAcknowledged -> run.stoppedAt + settings.stopMillis + STOP_MARGIN_MILLIS < sentAt
            else -> run.stage == RunStage.INHERITED || run.confirmedAt < sentAt
        }

    private companion object {
        /** A lost call is repeated at once, but never in a tight loop. */
        const val RESEND_MILLIS = 20L
        const val STOP_MARGIN_MILLIS = 200L
        const val UNANSWERED_TO_NOTE = 1

        /** Most ends that a worker lists in one answer. */
        const val MOST_ENDS_LISTED = 500
    }
}
