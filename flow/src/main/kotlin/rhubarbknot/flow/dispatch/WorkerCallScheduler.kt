package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.state.FlowState

/** Sends due starts, stops and lease renewals to workers, and ends the runs of workers that are guaranteed to run nothing. */
internal class WorkerCallScheduler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val leases: LeaseManager,
    private val effects: EffectBuffer,
) {
    private val roomGuard = RoomGuard(settings)

    /** Sends the calls that are due for [worker] at [now]. */
    fun sendDueCalls(
        worker: WorkerRecord,
        now: Long,
    ) {
        if (worker.terminated) return
        if (worker.runs.values.any { it.stage != RunStage.PROPOSED && !it.ending } && leases.isExpired(worker, now)) {
            val lease = RunBeliefs.describeLease(worker, now)
            effects.logEvent(DispatchEvent.LEASE_WAITED_OUT, worker.incarnation.toString(), "runs=${worker.runs.size} $lease")
            worker.suspectedCrash = CrashAnalyzer.crashOf(worker, now)
            runs.markRunsLost(worker, now, "lease expired")
        }
        val address = worker.report?.address ?: return
        if (worker.fenced) sendRunCalls(worker, address, now)
        sendRenewal(worker, address, now)
    }

    private fun sendRunCalls(
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        val starts = DueStarts(worker)
        worker.runs.values.toList().forEach { run ->
            if (run.callInFlight || run.ending || run.retryAt > now) return@forEach
            when {
                run.stage == RunStage.PROPOSED -> Unit
                run.stopWanted && run.stage == RunStage.STARTING && !run.startUncertain ->
                    runs.rejectRun(run, now, "stopped before its start")
                run.stopWanted && !run.stopAcknowledged -> {
                    run.callInFlight = true
                    logFirstStop(run, worker)
                    run.stopSentAt = now
                    effects.call(WorkerCall.Stop(worker.incarnation, address, worker.fencingToken, run.run), settings.callTimeoutMillis)
                }
                run.stage == RunStage.STARTING && !run.stopWanted && mayRepeatStart(run, worker, now) ->
                    sendStart(run, starts, address, now)
            }
        }
    }

    /** Repeated stops of a run are not logged. */
    private fun logFirstStop(
        run: RunRecord,
        worker: WorkerRecord,
    ) {
        if (run.stopLogged) return
        run.stopLogged = true
        val detail = "run=${run.run.number} worker=${worker.incarnation} stage=${run.stage} startUncertain=${run.startUncertain}"
        effects.logEvent(DispatchEvent.RUN_STOP_WANTED, run.run.task.toString(), detail)
    }

    /**
     * Whether a copy of the start of [run] may be sent. If the silent [worker] has restarted, its next incarnation would execute the
     * copy unless it carries a ticket, which is valid for one incarnation.
     */
    private fun mayRepeatStart(
        run: RunRecord,
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        val isSilent = worker.unansweredCalls > 0 && now - maxOf(worker.answeredAt, worker.reportedAt) > MAX_SILENCE_MILLIS
        return run.ticket != null || !run.startUncertain || !isSilent
    }

    /** The starts that are due on [worker] in one turn, with the demand of the runs that may be present there. */
    private class DueStarts(
        val worker: WorkerRecord,
    ) {
        val present: Resources by lazy {
            worker.runs.values.fold(
                Resources.NONE,
            ) { sum, run -> if (run.mayBePresent) sum + run.demand else sum }
        }
        private var sent = Resources.NONE

        /** Demand of the runs that may be present, with the starts that were sent in this turn. */
        val demand: Resources get() = present + sent

        /** Counts the start of [run], which is about to be sent. */
        fun add(run: RunRecord) {
            if (!run.mayBePresent) sent += run.demand
        }
    }

    private fun sendStart(
        run: RunRecord,
        starts: DueStarts,
        address: String,
        now: Long,
    ) {
        val worker = starts.worker
        val job = state.job(run.run.task.job) ?: return
        val ticket = run.ticket
        if (ticket != null && ticket.validUntil <= now && !run.startUncertain) {
            // The ticket expired while the log committed the run. Nothing was sent, so the task may be placed elsewhere at once.
            effects.logEvent(
                DispatchEvent.RUN_REFUSED,
                run.run.task.toString(),
                "run=${run.run.number} reason=ticket expired before the start",
            )
            runs.rejectRun(run, now, "ticket expired before the start")
            return
        }
        if (!mayStartNow(run, starts, now)) return
        val checkpoint = job.checkpoint(run.run.task)
        starts.add(run)
        run.callInFlight = true
        val deadline = leases.grant(worker, now)
        val call =
            WorkerCall.Start(
                worker.incarnation,
                address,
                worker.fencingToken,
                run.run,
                job.request.payload,
                deadline,
                checkpoint,
                ticket?.text.orEmpty(),
            )
        effects.call(call, settings.callTimeoutMillis)
    }

    /** Whether the room of the worker of [starts] still allows the start of [run]; withdraws the run if it never will. */
    private fun mayStartNow(
        run: RunRecord,
        starts: DueStarts,
        now: Long,
    ): Boolean {
        val worker = starts.worker
        val verdict = roomGuard.check(run, worker, starts.demand, now)
        when (verdict) {
            RoomGuard.Verdict.SEND -> Unit
            RoomGuard.Verdict.WAIT -> run.retryAt = now + settings.retryMillis
            RoomGuard.Verdict.WITHDRAW -> {
                val detail = "run=${run.run.number} worker=${worker.incarnation} reason=room shrank or is unknown"
                effects.logEvent(DispatchEvent.RUN_REFUSED, run.run.task.toString(), detail)
                // A copy of this start may still be in flight; only a stop guarantees that it has no effect.
                if (run.startUncertain) run.stopWanted = true else runs.rejectRun(run, now, "room shrank or is unknown")
                workers.touch(worker)
            }
        }
        return verdict == RoomGuard.Verdict.SEND
    }

    private fun sendRenewal(
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        if (worker.renewInFlight || now < worker.renewDueAt) return
        val hasCommittedRuns = worker.hasCommittedRuns
        val hasUnacknowledgedEnds = worker.lastCommittedEnd > worker.lastAcknowledgedEnd
        // The worker would immediately list ends again that are not committed yet.
        if (worker.fenced && worker.lastProposedEnd > worker.lastCommittedEnd) return
        val mayHaveStayed = worker.unansweredCalls == 0 && worker.isLeaveDue(now, settings.departureMillis)
        if (worker.fenced &&
            !hasCommittedRuns &&
            !hasUnacknowledgedEnds &&
            !mayHaveStayed &&
            !worker.addressDoubted &&
            !mayBeReachable(worker, now)
        ) {
            return
        }
        worker.renewInFlight = true
        val canWait = worker.fenced && worker.unansweredCalls == 0 && hasCommittedRuns && !mayHaveStayed
        val waitMillis = if (canWait) renewWaitMillis(worker) else 0
        val deadline = if (hasCommittedRuns) leases.grant(worker, now) else null
        val lastSeen = if (isConfirmedIncarnation(worker, now)) worker.lastCommittedEnd else 0
        effects.call(
            WorkerCall.Renew(worker.incarnation, address, worker.fencingToken, lastSeen, deadline, waitMillis),
            settings.callTimeoutMillis + waitMillis,
        )
    }

    /**
     * No other job may start a run on the worker until it has survived the start of a suspect, so the answer is wanted soon. The short
     * lease of a draining worker must outlast some lost calls.
     */
    private fun renewWaitMillis(worker: WorkerRecord): Long {
        val isSuspectStarting = worker.starting.any { it.isSuspect }
        return when {
            isSuspectStarting -> minOf(settings.startSurvivalMillis, settings.renewWaitMillis)
            worker.report?.draining == true -> minOf(settings.drainingLeaseMillis / DRAINING_RENEWALS, settings.renewWaitMillis)
            else -> settings.renewWaitMillis
        }
    }

    /**
     * Whether [worker] has listed its runs so recently that it cannot have restarted since. A restarted worker numbers its
     * ends from the start again, so an acknowledgement for its earlier incarnation would discard ends that were never seen.
     */
    private fun isConfirmedIncarnation(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = worker.unansweredCalls == 0 && now - worker.runsListedAt <= MIN_RESTART_MILLIS

    /** Whether a [worker] with unanswered calls, which gets no new runs, still reports and so may respond again. */
    private fun mayBeReachable(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = worker.unansweredCalls > 0 && now - worker.reportedAt <= settings.reportTimeoutMillis

    private companion object {
        /** Time without an answer or a report after which a start without a ticket is repeated only once the worker shows itself. */
        const val MAX_SILENCE_MILLIS = 1_000L

        /** Renewals that a draining worker gets at least during one lease. */
        const val DRAINING_RENEWALS = 10

        /** Lower bound for the time that a worker takes to restart. */
        const val MIN_RESTART_MILLIS = 150L
    }
}
