package rhubarbknot.flow.dispatch

import rhubarbknot.flow.state.FlowState

/** Sends each worker the orders and renewals that are due, and gives up on workers that surely run nothing any more. */
internal class WorkerCallScheduler(
    private val state: FlowState,
    private val settings: DispatchSettings,
    private val term: Long,
    private val runs: RunTracker,
    private val workers: WorkerTracker,
    private val leases: LeaseManager,
    private val out: EffectBuffer,
) {
    /** Sends what is due to [worker] at [now]. */
    fun attend(
        worker: WorkerRecord,
        now: Long,
    ) {
        if (worker.over) return
        if (worker.leftAt != Long.MAX_VALUE && now - worker.leftAt >= settings.departureMillis) {
            workers.over(worker, now, "left")
            return
        }
        if (worker.runs.values.any { it.stage != RunStage.PROPOSED && !it.ending } && leases.isSurelyOver(worker, now)) {
            out.note(DispatchEvent.LEASE_WAITED_OUT, worker.life.id, "runs=${worker.runs.size}")
            runs.giveUpOn(worker, now)
        }
        val address = worker.report?.address ?: return
        if (worker.fenced) orders(worker, address, now)
        renew(worker, address, now)
    }

    private fun orders(
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        worker.runs.values.toList().forEach { run ->
            if (run.callInFlight || run.ending || run.retryAt > now) return@forEach
            when {
                run.stage == RunStage.PROPOSED -> Unit
                run.stopWanted && run.stage == RunStage.STARTING && !run.uncertain -> runs.giveBack(run, now)
                run.stopWanted && !run.stopAcknowledged -> {
                    run.callInFlight = true
                    out.note(DispatchEvent.RUN_STOP_WANTED, run.run.task.toString(), "run=${run.run.number} worker=${worker.life.id}")
                    out.call(WorkerCall.Stop(worker.life, address, term, run.run), settings.callTimeoutMillis)
                }
                run.stage == RunStage.STARTING && !run.stopWanted -> start(run, worker, address, now)
            }
        }
    }

    private fun start(
        run: RunRecord,
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        val job = state.job(run.run.task.job) ?: return
        val ticket = run.ticket
        if (ticket != null && ticket.validUntil <= now && !run.uncertain) {
            // The log took so long that the worker would refuse it: nothing was sent, so it may go elsewhere at once.
            out.note(DispatchEvent.RUN_REFUSED, run.run.task.toString(), "run=${run.run.number} reason=ticket ran out before the start")
            runs.giveBack(run, now)
            return
        }
        val checkpoint = job.task(run.run.task)?.checkpoint.orEmpty()
        run.callInFlight = true
        val deadline = leases.grant(worker, now)
        out.call(
            WorkerCall.Start(worker.life, address, term, run.run, job.request.payload, deadline, checkpoint, ticket?.text.orEmpty()),
            settings.callTimeoutMillis,
        )
    }

    private fun renew(
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        if (worker.renewInFlight || now < worker.renewDueAt) return
        val hasOrders = worker.hasOrders
        val unacknowledged = worker.seen > worker.acknowledged
        // Ends that are not committed yet would come back at once.
        if (worker.fenced && worker.proposedSeen > worker.seen) return
        if (worker.fenced && !hasOrders && !unacknowledged && !mayHaveReturned(worker, now)) return
        worker.renewInFlight = true
        val wait = if (worker.fenced && worker.unanswered == 0 && hasOrders) settings.renewWaitMillis else 0
        val deadline = if (hasOrders) leases.grant(worker, now) else null
        val lastSeen = if (isSurelySameLife(worker, now)) worker.seen else 0
        out.call(WorkerCall.Renew(worker.life, address, term, lastSeen, deadline, wait), settings.callTimeoutMillis + wait)
    }

    /**
     * Whether [worker] has listed its runs just now. A later life under the same id counts its ends anew, so an
     * acknowledgement that is meant for the earlier one would make it forget ends that nobody has seen.
     */
    private fun isSurelySameLife(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = worker.unanswered == 0 && now - worker.listedAt <= SHORTEST_RESTART_MILLIS

    /** Whether an idle [worker], which gets no work after a lost call, still reports and so may answer again. */
    private fun mayHaveReturned(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = worker.unanswered > 0 && now - worker.reportedAt <= settings.reportTimeoutMillis

    private companion object {
        /** A worker takes longer than this to end and start anew. */
        const val SHORTEST_RESTART_MILLIS = 500L
    }
}
