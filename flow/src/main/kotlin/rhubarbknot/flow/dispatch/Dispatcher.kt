package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunEnding
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerLife
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState

/** What a [Dispatcher] wants done. */
sealed interface DispatchEffect {
    data class Propose(
        val command: FlowCommand,
    ) : DispatchEffect

    data class Call(
        val call: WorkerCall,
        val timeoutMillis: Long,
    ) : DispatchEffect

    data class AskEligibility(
        val question: EligibilityQuestion,
    ) : DispatchEffect

    /** For the decision log. */
    data class Note(
        val event: DispatchEvent,
        val subject: String,
        val detail: String,
    ) : DispatchEffect
}

/** Decisions and observations of a [Dispatcher] that an operator may need later. */
enum class DispatchEvent {
    RUN_ASSIGNED,
    RUN_STARTED,
    RUN_ENDED,
    RUN_LOST,
    RUN_REFUSED,
    RUN_STOP_WANTED,
    START_UNANSWERED,
    WORKER_FENCED,
    WORKER_UNREACHABLE,
    WORKER_REGAINED,
    WORKER_OVER,
    LEASE_WAITED_OUT,
    FENCED_OUT,
}

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
    private val settings: DispatchSettings,
    private val term: Long,
    private val startedAt: Long,
) {
    private val workers = LinkedHashMap<WorkerLife, WorkerRecord>()
    private val runs = HashMap<TaskId, RunRecord>()
    private val use = TeamUse()
    private val eligibility = EligibilityDesk()
    private val planner = Planner(state, eligibility, use)
    private val effects = ArrayList<DispatchEffect>()
    private var planDueAt = 0L
    private var planWanted = true

    init {
        state.occupiedWorkers.toList().forEach { life ->
            val record = recordOf(life)
            state.runsOn(life).forEach { (task, number) -> track(RunId(task, number), record, RunStage.INHERITED, "") }
        }
    }

    /** Workers that may be given work now, and all that are known; for status pages. */
    fun counts(now: Long): Pair<Int, Int> = workers.values.count { isUsable(it, now) } to workers.size

    /** Everything to be done since the last call. */
    fun drain(): List<DispatchEffect> {
        if (effects.isEmpty()) return emptyList()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    fun setEligibilityCallers(names: Collection<String>) = eligibility.setCallers(names)

    private fun recordOf(life: WorkerLife): WorkerRecord = workers.getOrPut(life) { WorkerRecord(life, null, startedAt) }

    private fun track(
        run: RunId,
        worker: WorkerRecord,
        stage: RunStage,
        ticket: String,
    ): RunRecord? {
        val job = state.job(run.task.job) ?: return null
        val record =
            RunRecord(run, job.request.team, job.request.queue, job.request.steps[run.task.step].demand, worker, stage, ticket)
        runs[run.task] = record
        worker.add(record)
        use.add(record.team, record.demand)
        record.proposedAt = startedAt
        if (job.phase.isFinal) record.stopWanted = true
        return record
    }

    private fun untrack(record: RunRecord) {
        if (runs[record.run.task] !== record) return
        runs.remove(record.run.task)
        record.worker.remove(record)
        use.remove(record.team, record.demand)
        planWanted = true
    }

    // Reports

    /** A worker said something of itself; [report] may be old. */
    fun reported(
        report: WorkerReport,
        now: Long,
    ) {
        val newer = workers.values.any { it.life.id == report.life.id && it.life.born > report.life.born }
        if (newer) return
        workers.values.filter { it.life.id == report.life.id && it.life.born < report.life.born }.forEach { over(it, now, "born anew") }
        workers.values
            .filter { it.life.id != report.life.id && it.report?.address == report.address && it.life.born < report.life.born }
            .forEach { over(it, now, "address taken over") }
        val record = recordOf(report.life)
        val known = record.report
        if (known != null && !report.isNewerThan(known)) return
        if (known == null || known.draining != report.draining) planWanted = true
        record.report = report
        record.reportedAt = now
        record.readClock(report.clockMillis, now)
    }

    /** A worker said that it ends now. */
    fun left(
        id: String,
        now: Long,
    ) {
        workers.values.filter { it.life.id == id }.forEach { it.leftAt = minOf(it.leftAt, now) }
    }

    private fun over(
        worker: WorkerRecord,
        now: Long,
        why: String,
    ) {
        if (worker.over) return
        worker.over = true
        note(DispatchEvent.WORKER_OVER, worker.life.id, why)
        giveUp(worker, now)
    }

    /** Ends every run on [worker], which surely runs nothing any more. */
    private fun giveUp(
        worker: WorkerRecord,
        now: Long,
    ) {
        val lost = worker.runs.values.filter { it.stage != RunStage.PROPOSED && !it.ending }
        if (lost.isEmpty()) return
        lost.forEach { it.ending = true }
        propose(FlowCommand.Ended(lost.map { RunEnd(it.run, RunEnding.LOST, it.checkpoint) }, now))
        lost.forEach { note(DispatchEvent.RUN_LOST, it.run.task.toString(), "worker=${worker.life.id}") }
    }

    // What the log brings

    /** [command] was applied with [outcome]. */
    fun applied(
        command: FlowCommand,
        outcome: FlowOutcome,
        now: Long,
    ) {
        planWanted = true
        when (command) {
            is FlowCommand.Assign -> assigned(command, (outcome as FlowOutcome.Assigned).runs, now)
            is FlowCommand.Ended -> {
                command.ends.forEach { ended(it, now) }
                command.worker?.let { seen(it, command.upTo, now) }
            }
            is FlowCommand.Cancel -> stopAllOf(command.job)
            else -> Unit
        }
    }

    private fun assigned(
        command: FlowCommand.Assign,
        accepted: List<Assignment>,
        now: Long,
    ) {
        command.runs.forEach { assignment ->
            val record = runs[assignment.run.task]?.takeIf { it.run == assignment.run } ?: return@forEach
            when {
                assignment !in accepted -> untrack(record)
                record.worker.over -> {
                    record.stage = RunStage.STARTING
                    giveUp(record.worker, now)
                }
                else -> {
                    record.stage = RunStage.STARTING
                    record.committedAt = now
                }
            }
        }
    }

    private fun ended(
        end: RunEnd,
        now: Long,
    ) {
        val record = runs[end.run.task]
        if (record != null && record.run == end.run) {
            untrack(record)
            note(
                DispatchEvent.RUN_ENDED,
                end.run.task.toString(),
                "run=${end.run.number} how=${end.ending} worker=${record.worker.life.id} after=${now - record.proposedAt}ms committed=${now - record.listedAt}ms",
            )
            learn(record, end, now)
        }
        val job = state.job(end.run.task.job) ?: return
        if (job.phase.isFinal) {
            stopAllOf(job.id)
            return
        }
        val gang = job.request.steps[end.run.task.step].gang
        if (gang && end.ending != RunEnding.DONE) {
            runs.values
                .filter { it.run.task.job == job.id && it.run.task.step == end.run.task.step && it.run.number == end.run.number }
                .forEach {
                    it.stopWanted =
                        true
                }
        }
    }

    private fun learn(
        record: RunRecord,
        end: RunEnd,
        now: Long,
    ) {
        val worker = record.worker
        when (end.ending) {
            RunEnding.DONE -> worker.failuresInARow = 0
            RunEnding.FAILED -> if (++worker.failuresInARow >= FAILURES_TO_DISTRUST) worker.distrustedUntil = now + settings.distrustMillis
            else -> Unit
        }
    }

    private fun stopAllOf(job: String) = runs.values.filter { it.run.task.job == job }.forEach { it.stopWanted = true }

    // Answers of workers

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
                WorkerReply.NotSent, WorkerReply.NoResponse -> null
            }
        if (reply == WorkerReply.NoResponse || reply == WorkerReply.NotSent) {
            if (worker.unanswered++ ==
                UNANSWERED_TO_NOTE
            ) {
                note(DispatchEvent.WORKER_UNREACHABLE, worker.life.id, "unanswered=${worker.unanswered}")
            }
            return
        }
        if (worker.unanswered > UNANSWERED_TO_NOTE) note(DispatchEvent.WORKER_REGAINED, worker.life.id, "")
        worker.unanswered = 0
        if (reply is WorkerReply.Refused && reply.reason == RefusalReason.OTHER_LIFE) {
            over(worker, now, "another life answers at its address")
            return
        }
        if (reply is WorkerReply.Refused &&
            reply.reason == RefusalReason.FENCED
        ) {
            note(DispatchEvent.FENCED_OUT, worker.life.id, "term=$term")
        }
        if (clock != null) worker.readClock(clock, now)
    }

    private fun startReplied(
        call: WorkerCall.Start,
        reply: WorkerReply,
        now: Long,
    ) {
        val record = runs[call.run.task]?.takeIf { it.run == call.run } ?: return
        record.callInFlight = false
        when (reply) {
            is WorkerReply.Done -> {
                record.stage = RunStage.RUNNING
                record.uncertain = false
                record.confirmedAt = now
                note(
                    DispatchEvent.RUN_STARTED,
                    record.run.task.toString(),
                    "run=${record.run.number} worker=${record.worker.life.id} committed=${record.committedAt - record.proposedAt}ms after=${now - record.proposedAt}ms",
                )
                if (record.worker.renewDueAt > now) record.worker.renewDueAt = now
            }
            is WorkerReply.Refused -> startRefused(record, reply.reason, now)
            is WorkerReply.Runs -> Unit
            WorkerReply.NotSent -> if (record.uncertain) record.retryAt = now + settings.retryMillis else rejected(record, now)
            WorkerReply.NoResponse -> {
                record.uncertain = true
                record.retryAt = now + RESEND_MILLIS
                note(DispatchEvent.START_UNANSWERED, record.run.task.toString(), "worker=${record.worker.life.id}")
            }
        }
    }

    private fun startRefused(
        record: RunRecord,
        reason: RefusalReason,
        now: Long,
    ) {
        note(
            DispatchEvent.RUN_REFUSED,
            record.run.task.toString(),
            "run=${record.run.number} worker=${record.worker.life.id} reason=$reason",
        )
        record.retryAt = now + settings.retryMillis
        when (reason) {
            RefusalReason.LATE, RefusalReason.FENCED -> return
            RefusalReason.UNHEALTHY -> record.worker.distrustedUntil = now + settings.distrustMillis
            RefusalReason.TICKET -> eligibility.of(StepKey(record.run.task.job, record.run.task.step))?.tickets?.remove(record.worker.life)
            RefusalReason.NO_ROOM -> record.worker.distrustedUntil = now + settings.retryMillis
            else -> Unit
        }
        // A copy of this start may still be on its way: only a stop makes sure that it comes to nothing.
        if (record.uncertain) record.stopWanted = true else rejected(record, now)
    }

    private fun rejected(
        record: RunRecord,
        now: Long,
    ) {
        if (record.ending) return
        record.ending = true
        propose(FlowCommand.Ended(listOf(RunEnd(record.run, RunEnding.REJECTED)), now))
    }

    private fun stopReplied(
        call: WorkerCall.Stop,
        reply: WorkerReply,
        now: Long,
    ) {
        val record = runs[call.run.task]?.takeIf { it.run == call.run } ?: return
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
            if (reply.born > worker.life.born) over(worker, now, "born anew")
            return
        }
        if (!worker.fenced) {
            worker.fenced = true
            planWanted = true
            note(DispatchEvent.WORKER_FENCED, worker.life.id, "term=$term running=${reply.running.size} ended=${reply.ended.size}")
        }
        worker.acknowledged = maxOf(worker.acknowledged, call.lastSeen)
        takeRunning(worker, reply, now)
        takeEnds(worker, reply, now)
        takeMissing(worker, reply, sentAt, now)
    }

    private fun takeRunning(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        now: Long,
    ) {
        reply.running.forEach { running ->
            val record = runs[running.run.task]
            if (record != null && record.run == running.run && record.worker === worker) {
                if (running.checkpoint.isNotEmpty()) record.checkpoint = running.checkpoint
                if (record.stage == RunStage.STARTING || record.stage == RunStage.INHERITED) {
                    record.stage = RunStage.RUNNING
                    record.uncertain = false
                    record.confirmedAt = minOf(record.confirmedAt, now)
                }
            } else if (state.runsOn(worker.life)[running.run.task] != running.run.number) {
                call(WorkerCall.Stop(worker.life, worker.report?.address ?: return@forEach, term, running.run), settings.callTimeoutMillis)
            }
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
        fresh.forEach { numbered -> runs[numbered.end.run.task]?.takeIf { it.run == numbered.end.run }?.listed(now) }
        propose(FlowCommand.Ended(fresh.map { it.end }, now, worker.life, worker.proposedSeen))
    }

    /** Ends up to [number] of [life] are committed, so the worker may forget them. */
    private fun seen(
        life: WorkerLife,
        number: Long,
        now: Long,
    ) {
        val worker = workers[life] ?: return
        worker.seen = maxOf(worker.seen, number)
        worker.renewDueAt = minOf(worker.renewDueAt, now)
    }

    private fun takeMissing(
        worker: WorkerRecord,
        reply: WorkerReply.Runs,
        sentAt: Long,
        now: Long,
    ) {
        val listed = reply.running.mapTo(HashSet()) { it.run }
        val missing =
            worker.runs.values.filter { run ->
                !run.ending && run.run !in listed && isSurelyKnown(run, sentAt)
            }
        if (missing.isEmpty()) return
        missing.forEach { it.ending = true }
        propose(
            FlowCommand.Ended(
                missing.map {
                    RunEnd(it.run, if (it.stopAcknowledged) RunEnding.STOPPED else RunEnding.LOST, it.checkpoint)
                },
                now,
            ),
        )
        missing.forEach { note(DispatchEvent.RUN_LOST, it.run.task.toString(), "worker=${worker.life.id} not listed") }
    }

    /** Whether a list that was asked for at [sentAt] must hold [run], if it is at work or about to be. */
    private fun isSurelyKnown(
        run: RunRecord,
        sentAt: Long,
    ): Boolean =
        when {
            run.stage == RunStage.PROPOSED -> false
            run.stopAcknowledged -> run.stoppedAt + settings.stopMillis + EXPIRY_MARGIN_MILLIS < sentAt
            else -> run.stage == RunStage.INHERITED || run.confirmedAt < sentAt
        }

    /** An answer of the eligibility service. */
    fun eligibilityReplied(
        reply: EligibilityReply,
        now: Long,
    ) {
        if (eligibility.answered(reply, now) != null) planWanted = true
    }

    // Time

    /** Sends what is due. To be called only while no other leader can act. */
    fun pump(now: Long) {
        workers.values.forEach { attend(it, now) }
        workers.values.removeIf { it.runs.isEmpty() && (it.over || now - it.reportedAt > settings.forgetMillis) }
        if (planWanted || now >= planDueAt) plan(now)
        eligibility.due(now).forEach { effects += DispatchEffect.AskEligibility(it) }
    }

    private fun plan(now: Long) {
        planWanted = false
        planDueAt = now + PLAN_PERIOD_MILLIS
        eligibility.retain { key -> state.job(key.job)?.let { !it.phase.isFinal && !it.steps[key.step].isDone } ?: false }
        val usable = workers.values.filter { isUsable(it, now) }
        val planned = planner.plan(usable, { runs[it] }, now)
        if (planned.isEmpty()) return
        planned.forEach { run ->
            // The planner has counted it for the team already.
            use.remove(run.team, run.demand)
            track(run.assignment.run, run.worker, RunStage.PROPOSED, run.ticket)?.proposedAt = now
            note(
                DispatchEvent.RUN_ASSIGNED,
                run.assignment.run.task
                    .toString(),
                "run=${run.assignment.run.number} worker=${run.worker.life.id}",
            )
        }
        propose(FlowCommand.Assign(planned.map { it.assignment }))
    }

    private fun isUsable(
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        val report = worker.report ?: return false
        return worker.fenced &&
            !worker.over &&
            worker.leftAt == Long.MAX_VALUE &&
            !report.draining &&
            report.zone !in state.drainedZones &&
            worker.unanswered == 0 &&
            worker.distrustedUntil <= now &&
            now - worker.reportedAt <= settings.reportTimeoutMillis
    }

    private fun attend(
        worker: WorkerRecord,
        now: Long,
    ) {
        if (worker.over) return
        if (worker.leftAt != Long.MAX_VALUE && now - worker.leftAt >= settings.departureMillis) {
            over(worker, now, "left")
            return
        }
        if (surelyExpired(worker, now)) {
            note(DispatchEvent.LEASE_WAITED_OUT, worker.life.id, "runs=${worker.runs.size}")
            giveUp(worker, now)
        }
        val address = worker.report?.address ?: return
        if (worker.fenced) orders(worker, address, now)
        renew(worker, address, now)
    }

    /** Whether every deadline that any leader can have granted there is over. */
    private fun surelyExpired(
        worker: WorkerRecord,
        now: Long,
    ): Boolean {
        if (worker.runs.values.none { it.stage != RunStage.PROPOSED && !it.ending }) return false
        if (!worker.fenced) {
            // Earlier leaders granted at most one lease beyond the moment when this one took over.
            val slowest = settings.leaseMillis * PER_MILLE / (PER_MILLE - settings.slowClockPerMille)
            return now - startedAt > slowest + EXPIRY_MARGIN_MILLIS
        }
        if (worker.unanswered == 0) return false
        val inherited =
            now - startedAt <= settings.leaseMillis * PER_MILLE / (PER_MILLE - settings.slowClockPerMille) + EXPIRY_MARGIN_MILLIS
        return !inherited && worker.clockAtLeast(now, settings.slowClockPerMille) > worker.grantedUntil + EXPIRY_MARGIN_MILLIS
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
                run.stopWanted && run.stage == RunStage.STARTING && !run.uncertain -> rejected(run, now)
                run.stopWanted && !run.stopAcknowledged -> {
                    run.callInFlight = true
                    note(DispatchEvent.RUN_STOP_WANTED, run.run.task.toString(), "run=${run.run.number} worker=${worker.life.id}")
                    call(WorkerCall.Stop(worker.life, address, term, run.run), settings.callTimeoutMillis)
                }
                run.stage == RunStage.STARTING -> start(run, worker, address, now)
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
        val checkpoint = job.task(run.run.task)?.checkpoint.orEmpty()
        run.callInFlight = true
        val deadline = grant(worker, now)
        call(
            WorkerCall.Start(worker.life, address, term, run.run, job.request.payload, deadline, checkpoint, run.ticket),
            settings.callTimeoutMillis,
        )
    }

    /** The deadline of an order sent now. It does not move on while the worker does not answer, so that it can be waited out. */
    private fun grant(
        worker: WorkerRecord,
        now: Long,
    ): Long {
        if (worker.unanswered == 0 || worker.grantedUntil == Long.MIN_VALUE) {
            worker.grantedUntil = maxOf(worker.grantedUntil, worker.clockAtLeast(now, settings.slowClockPerMille) + settings.leaseMillis)
        }
        return worker.grantedUntil
    }

    private fun renew(
        worker: WorkerRecord,
        address: String,
        now: Long,
    ) {
        if (worker.renewInFlight || now < worker.renewDueAt) return
        val hasRuns = worker.runs.values.any { it.stage != RunStage.PROPOSED }
        val unacknowledged = worker.seen > worker.acknowledged
        // Ends that are not committed yet would come back at once.
        if (worker.fenced && worker.proposedSeen > worker.seen) return
        if (worker.fenced && !hasRuns && !unacknowledged && !mayHaveReturned(worker, now)) return
        worker.renewInFlight = true
        worker.renewSentAt = now
        val wait = if (worker.fenced && worker.unanswered == 0 && hasRuns) settings.renewWaitMillis else 0
        val deadline = if (hasRuns) grant(worker, now) else null
        call(WorkerCall.Renew(worker.life, address, term, worker.seen, deadline, wait), settings.callTimeoutMillis + wait)
    }

    /** Whether an idle [worker], which gets no work after a lost call, still reports and so may answer again. */
    private fun mayHaveReturned(
        worker: WorkerRecord,
        now: Long,
    ): Boolean = worker.unanswered > 0 && now - worker.reportedAt <= settings.reportTimeoutMillis

    private fun call(
        call: WorkerCall,
        timeoutMillis: Long,
    ) {
        effects += DispatchEffect.Call(call, timeoutMillis)
    }

    private fun propose(command: FlowCommand) {
        effects += DispatchEffect.Propose(command)
    }

    private fun note(
        event: DispatchEvent,
        subject: String,
        detail: String,
    ) {
        effects += DispatchEffect.Note(event, subject, detail)
    }

    private companion object {
        const val PER_MILLE = 1_000L
        const val EXPIRY_MARGIN_MILLIS = 200L
        const val PLAN_PERIOD_MILLIS = 100L

        /** A lost call is repeated at once, but never in a tight loop. */
        const val RESEND_MILLIS = 20L
        const val FAILURES_TO_DISTRUST = 3
        const val UNANSWERED_TO_NOTE = 1
    }
}
