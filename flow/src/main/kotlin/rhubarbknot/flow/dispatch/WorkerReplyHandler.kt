package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState

/** Handles the responses of workers to calls of this leader. */
internal class WorkerReplyHandler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val term: Long,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val eligibility: EligibilityTracker,
    private val progressMonitor: ProgressMonitor,
    private val effects: EffectBuffer,
) {
    private val beliefs = RunBeliefs(state, runs)

    /** Handles [reply] to [call], which was sent at [sentAt]. */
    fun handle(
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long,
        now: Long,
    ) {
        val worker = workers[call.worker] ?: return
        workers.touch(worker)
        updateConnection(worker, reply, now)
        when (call) {
            is WorkerCall.Start -> startReplied(worker, call, reply, now)
            is WorkerCall.Stop -> stopReplied(worker, call, reply, now)
            is WorkerCall.Renew -> renewReplied(worker, call, reply, sentAt, now)
        }
    }

    private fun updateConnection(
        worker: WorkerRecord,
        reply: WorkerReply,
        now: Long,
    ) {
        val clock =
            when (reply) {
                is WorkerReply.Done -> reply.clockMillis
                is WorkerReply.Refused -> reply.clockMillis
                is WorkerReply.Runs -> reply.clockMillis
                // Neither silence nor a refused connection shows that the worker has ended: both may come from a network partition.
                WorkerReply.NotSent, WorkerReply.NoResponse, WorkerReply.ConnectionRefused -> {
                    recordUnansweredCall(worker)
                    return
                }
            }
        if (worker.unansweredCalls >
            UNREACHABLE_LOG_THRESHOLD
        ) {
            effects.logEvent(DispatchEvent.WORKER_REGAINED, worker.incarnation.toString())
        }
        worker.unansweredCalls = 0
        worker.answeredAt = now
        val refusal = (reply as? WorkerReply.Refused)?.reason
        if (refusal == RefusalReason.OTHER_LIFE) {
            workers.markTerminated(worker, now, "another incarnation answers at its address")
            return
        }
        if (refusal == RefusalReason.FENCED) effects.logEvent(DispatchEvent.FENCED_OUT, worker.incarnation.toString(), "term=$term")
        if (clock != null) worker.readClock(clock, now)
    }

    private fun recordUnansweredCall(worker: WorkerRecord) {
        if (worker.unansweredCalls++ == UNREACHABLE_LOG_THRESHOLD) {
            effects.logEvent(DispatchEvent.WORKER_UNREACHABLE, worker.incarnation.toString(), "unanswered=${worker.unansweredCalls}")
        }
    }

    private fun startReplied(
        worker: WorkerRecord,
        call: WorkerCall.Start,
        reply: WorkerReply,
        now: Long,
    ) {
        // The answer of an earlier incarnation says nothing about the one to which the run has moved.
        val record = runs.of(call.run)?.takeIf { it.worker === worker } ?: return
        record.callInFlight = false
        // Once the worker has listed the run, responses to earlier or repeated starts carry no new information.
        if (record.stage != RunStage.STARTING) return
        when (reply) {
            is WorkerReply.Done -> markStarted(record, reply, now)
            is WorkerReply.Refused -> startRefused(record, reply.reason, now)
            is WorkerReply.Runs -> Unit
            WorkerReply.NotSent, WorkerReply.ConnectionRefused ->
                if (record.startUncertain) record.retryAt = now + settings.retryMillis else runs.rejectRun(record, now, "$reply")
            WorkerReply.NoResponse -> {
                record.startUncertain = true
                record.retryAt = now + RESEND_MILLIS
                logFirstUnansweredStart(record)
            }
        }
    }

    /** Repeated starts of a run are counted, not logged. */
    private fun logFirstUnansweredStart(record: RunRecord) {
        if (record.unansweredStarts++ > 0) return
        val detail = "run=${record.run.number} worker=${record.worker.incarnation}"
        effects.logEvent(DispatchEvent.START_UNANSWERED, record.run.task.toString(), detail)
    }

    private fun markStarted(
        record: RunRecord,
        reply: WorkerReply.Done,
        now: Long,
    ) {
        record.stage = RunStage.RUNNING
        record.startUncertain = false
        record.confirmedAt = now
        record.worker.trust.recordAcceptance()
        // Without the worker's clock in the answer, its latest reading may be from before the start.
        if (reply.clockMillis != null) record.confirmedClock = record.worker.clockReading
        runs.markStarted(record)
        effects.logEvent(
            DispatchEvent.RUN_STARTED,
            record.run.task.toString(),
            "run=${record.run.number} worker=${record.worker.incarnation} " +
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
        effects.logEvent(
            DispatchEvent.RUN_REFUSED,
            record.run.task.toString(),
            "run=${record.run.number} worker=${record.worker.incarnation} reason=$reason",
        )
        record.retryAt = now + settings.retryMillis
        when (reason) {
            RefusalReason.LATE, RefusalReason.FENCED -> return
            RefusalReason.UNHEALTHY -> record.worker.trust.recordRefusal(now)
            RefusalReason.TICKET ->
                eligibility.invalidateTicket(
                    StepKey(record.run.task.job, record.run.task.step),
                    record.worker.incarnation,
                )
            RefusalReason.NO_ROOM -> record.worker.trust.recordBusy(now + settings.retryMillis)
            else -> Unit
        }
        // A copy of this start may still be in flight; only a stop guarantees that it has no effect.
        if (record.startUncertain) record.stopWanted = true else runs.rejectRun(record, now, "start refused: $reason")
    }

    private fun stopReplied(
        worker: WorkerRecord,
        call: WorkerCall.Stop,
        reply: WorkerReply,
        now: Long,
    ) {
        val record = runs.of(call.run)?.takeIf { it.worker === worker } ?: return
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
        if (call == worker.addressProbe) worker.addressProbe = null else worker.renewInFlight = false
        if (reply !is WorkerReply.Runs) {
            // A worker that refuses a renewal has not extended its lease, so that it is waited for like a silent one.
            if (reply is WorkerReply.Refused) recordUnansweredCall(worker)
            worker.renewDueAt =
                now + if (reply == WorkerReply.NoResponse && worker.unansweredCalls <= 1) RESEND_MILLIS else settings.retryMillis
            return
        }
        worker.renewDueAt = now
        if (reply.born != null && reply.born != worker.incarnation.born) {
            if (reply.born > worker.incarnation.born) workers.replaceIncarnation(worker, worker.incarnation.copy(born = reply.born), now)
            return
        }
        worker.runsListedAt = now
        worker.suspectedCrash = null
        workers.confirmAddress(worker)
        if (worker.isLeaveDue(sentAt, settings.departureMillis)) workers.cancelLeaving(worker)
        // Other responses do not tell whether the worker has restarted under its id.
        worker.markSurvivedStarts(now - settings.startSurvivalMillis)
        if (!worker.fenced) {
            workers.markFenced(worker, reply.clockMillis, now)
            val counts = "running=${reply.running.size} ended=${reply.ended.size} tracked=${worker.runs.size}"
            effects.logEvent(DispatchEvent.WORKER_FENCED, worker.incarnation.toString(), "term=$term $counts listedBorn=${reply.born}")
        }
        worker.lastAcknowledgedEnd = maxOf(worker.lastAcknowledgedEnd, call.lastSeen)
        handleRunning(worker, reply, now)
        handleEnds(worker, reply, now)
        handleMissing(worker, reply, sentAt, now)
        progressMonitor.evaluate(worker, now)
    }

    private fun handleRunning(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        now: Long,
    ) {
        reply.running.forEach { running ->
            val record = runs.of(running.run)
            if (record != null && record.worker === worker) {
                updateListedRun(record, running, now)
            } else if (state.runsOn(worker.incarnation)[running.run.task] != running.run.number) {
                logUnexpected(worker, running.run)
                val address = worker.report?.address ?: return@forEach
                effects.call(WorkerCall.Stop(worker.incarnation, address, worker.fencingToken, running.run), settings.callTimeoutMillis)
            }
        }
    }

    private fun logUnexpected(
        worker: WorkerRecord,
        run: RunId,
    ) {
        if (!worker.unexpectedRuns.add(run)) return
        if (worker.unexpectedRuns.size > MAX_UNEXPECTED_RUNS) worker.unexpectedRuns.remove(worker.unexpectedRuns.first())
        val detail = "run=${run.number} worker=${worker.incarnation} ${beliefs.describe(run.task)}"
        effects.logEvent(DispatchEvent.UNEXPECTED_RUN, run.task.toString(), detail)
    }

    private fun updateListedRun(
        record: RunRecord,
        running: RunningRun,
        now: Long,
    ) {
        if (running.checkpoint.isNotEmpty()) record.checkpoint = running.checkpoint
        record.progress.update(running.percent, now)
        if (record.stage == RunStage.STARTING || record.stage == RunStage.INHERITED) {
            record.stage = RunStage.RUNNING
            record.startUncertain = false
            record.confirmedAt = minOf(record.confirmedAt, now)
            record.confirmedClock = minOf(record.confirmedClock, record.worker.clockReading)
            runs.markStarted(record)
        }
    }

    private fun handleEnds(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        now: Long,
    ) {
        val newEnds = reply.ended.filter { it.number > worker.lastProposedEnd }
        if (newEnds.isEmpty()) return
        newEnds.filter { beliefs.isStale(it.end, worker.incarnation) }.forEach { logStale(it.end, worker) }
        worker.lastProposedEnd = newEnds.maxOf { it.number }
        newEnds.mapNotNull { runs.of(it.end.run) }.forEach { record ->
            record.markEndListed(now)
            runs.markStarted(record)
        }
        val ends = newEnds.map { it.end }
        effects.propose(
            FlowCommand.Ended(ends, now, worker.incarnation, worker.lastProposedEnd, startedJobs = runs.takeStartedJobs()),
        )
    }

    private fun logStale(
        end: RunEnd,
        worker: WorkerRecord,
    ) {
        // The first list of ends that a leader gets may hold some that the leader before has committed but not acknowledged.
        val source = "how=${end.ending} worker=${worker.incarnation} firstEnds=${worker.lastProposedEnd == 0L}"
        val detail = "run=${end.run.number} $source ${beliefs.describe(end.run.task)}"
        effects.logEvent(DispatchEvent.STALE_END, end.run.task.toString(), detail)
    }

    private fun handleMissing(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        sentAt: Long,
        now: Long,
    ) {
        // A full list of ends may omit the end of a run that is missing here.
        if (reply.ended.size >= MAX_LISTED_ENDS) return
        val listedRuns = reply.running.mapTo(HashSet()) { it.run }
        val missing = worker.runs.values.filter { run -> !run.ending && run.run !in listedRuns && mustBeListed(run, sentAt) }
        if (missing.isEmpty()) return
        missing.forEach {
            it.ending = true
            it.endCause = "not listed"
        }
        val ends = missing.map { RunEnd(it.run, if (it.stopAcknowledged) RunOutcome.STOPPED else RunOutcome.LOST, it.checkpoint) }
        effects.propose(FlowCommand.Ended(ends, now))
        missing.forEach {
            effects.logEvent(
                DispatchEvent.RUN_LOST,
                it.run.task.toString(),
                "run=${it.run.number} worker=${worker.incarnation} cause=not listed ${RunBeliefs.describeLoss(it, worker, now)}",
            )
        }
    }

    /** Whether a list requested at [sentAt] must contain [run] if the run is active or about to start. */
    private fun mustBeListed(
        run: RunRecord,
        sentAt: Long,
    ): Boolean =
        when {
            run.stage == RunStage.PROPOSED || mayBeStopping(run, sentAt) -> false
            run.stopAcknowledged -> true
            else -> run.stage == RunStage.INHERITED || run.confirmedAt < sentAt
        }

    /** Whether a stop of [run], answered or not, may still be in progress at [sentAt]. */
    private fun mayBeStopping(
        run: RunRecord,
        sentAt: Long,
    ): Boolean {
        val lastStopAt = if (run.stopAcknowledged) run.stoppedAt else run.stopSentAt
        return sentAt <= lastStopAt + settings.stopMillis + STOP_MARGIN_MILLIS
    }

    private companion object {
        /** A lost call is repeated almost immediately; the delay prevents a tight loop. */
        const val RESEND_MILLIS = 20L
        const val STOP_MARGIN_MILLIS = 200L
        const val UNREACHABLE_LOG_THRESHOLD = 1

        /** Unexpected runs remembered for each worker so that each is logged once. */
        const val MAX_UNEXPECTED_RUNS = 100

        /** Maximum number of ends that a worker lists in one response. */
        const val MAX_LISTED_ENDS = 500
    }
}
