package rhubarbknot.core.cell

import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.ZoneId

/** Takes jobs in, refuses them early and truly, and cancels them. */
internal class Admission(
    private val index: CellIndex,
    private val book: JobLifecycle,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state

    fun submit(command: CellCommand.Submit) {
        val known = state.jobs[command.job]
        if (known != null) {
            resend(command, known)
            return
        }
        val refusal = refusal(command)
        if (refusal != null) {
            effects += CellEffect.Refused(command.request, refusal.reason, refusal.detail)
            return
        }
        val job = Job(command.job, state.nextSeq++, command.queue, command.spec, state.now, command.fingerprint)
        admit(job)
        effects += CellEffect.Accepted(command.request, job.id, duplicate = false, outcome = null)
    }

    private fun resend(
        command: CellCommand.Submit,
        known: Job,
    ) {
        effects +=
            if (known.fingerprint != command.fingerprint) {
                CellEffect.Refused(command.request, RefusalReason.ID_REUSED, "id ${command.job.local} was used for another request")
            } else {
                CellEffect.Accepted(command.request, known.id, duplicate = true, known.outcome, known.handover?.zone)
            }
    }

    private fun refusal(command: CellCommand.Submit): Outcome.NotRun? {
        val team = state.teams[command.job.team]
        val row = team?.row ?: return Outcome.NotRun(RefusalReason.UNKNOWN_TEAM, "no team ${command.job.team} in the table")
        val kind = if (command.spec.need.slots > 0) ExecutorKind.ENDPOINT else ExecutorKind.WORKER
        if (team.waiting >= row.queueLimit) {
            return Outcome.NotRun(
                RefusalReason.QUEUE_FULL,
                "team ${team.team} has ${team.waiting} jobs waiting, its limit is ${row.queueLimit}",
            )
        }
        if (state.jobs.size >= index.policy.maxRetained) {
            return Outcome.NotRun(RefusalReason.RETENTION_FULL, "this zone remembers as many jobs as it may; try again in a minute")
        }
        if (command.spec.gang && command.spec.tasks > row.ceiling) {
            val detail = "a gang of ${command.spec.tasks} can't start: the ceiling of team ${team.team} is ${row.ceiling}"
            return Outcome.NotRun(RefusalReason.NEVER_FITS, detail)
        }
        return neverFits(kind, command.spec.need) ?: gangNeverFits(kind, command.spec)
    }

    private fun gangNeverFits(
        kind: ExecutorKind,
        spec: JobSpec,
    ): Outcome.NotRun? {
        if (!spec.gang || !index.hasExecutors(kind)) return null
        val room = index.copies(kind, spec.need)
        if (room >= spec.tasks) return null
        val detail = "all ${spec.tasks} parts must start together, and this zone has room for $room at the same time when it is empty"
        return Outcome.NotRun(RefusalReason.NEVER_FITS, detail)
    }

    private fun neverFits(
        kind: ExecutorKind,
        need: Resources,
    ): Outcome.NotRun? {
        if (!index.hasExecutors(kind) || index.fitsSomewhere(kind, need) || zoneThatFits(kind, need) != null) return null
        return Outcome.NotRun(RefusalReason.NEVER_FITS, Fit.explain(need, index.largest(kind)))
    }

    /** Another zone with an executor that could hold [need]. */
    fun zoneThatFits(
        kind: ExecutorKind,
        need: Resources,
    ): ZoneId? = state.others.firstOrNull { need.fitsIn(if (kind == ExecutorKind.WORKER) it.worker else it.endpoint) }?.zone

    private fun admit(job: Job) {
        val team = state.teams.getOrPut(job.id.team) { TeamState(job.id.team) }
        team.day.at(state.now).asked++
        job.lane = index.lanesOf(team)[job.kind.ordinal]
        state.jobs[job.id] = job
        book.refresh(job)
    }

    fun adopt(command: CellCommand.Adopt) {
        val transfer = command.transfer
        val known = state.jobs[transfer.id]
        val job = known ?: restore(transfer).also { admit(it) }
        effects += CellEffect.Adopted(job.id, command.from, up = job.isOver || job.pending == 0)
    }

    private fun restore(transfer: JobTransfer): Job {
        val job = Job(transfer.id, state.nextSeq++, transfer.queue, transfer.spec, state.now, transfer.fingerprint, transfer.tries)
        job.nextTask = transfer.nextTask
        job.completed = transfer.completed
        job.failed = transfer.failed
        job.begun = transfer.begun
        if (transfer.retries.isNotEmpty()) job.retries = ArrayList(transfer.retries)
        if (transfer.answers.isNotEmpty()) job.answers = ArrayList(transfer.answers)
        if (transfer.waits.isNotEmpty()) job.waits = ArrayList(transfer.waits)
        return job
    }

    /** Cancels [jobs] in one pass. */
    fun cancel(
        request: RequestId,
        jobs: List<JobId>,
    ) {
        val found = jobs.mapNotNull { state.jobs[it] }
        val open = found.filter { it.outcome == null && it.handover == null }
        open.forEach { cancel(it) }
        effects += CellEffect.Cancelled(request, open.size, jobs.size - found.size)
    }

    private fun cancel(job: Job) {
        job.cancelled = true
        job.active.toList().forEach { book.stop(it, StopMode.KILL, state.now + KILL_REPEAT_MILLIS) }
        book.settle(job)
    }

    /** Refuses what can no longer run: deadlines that passed and sizes that fit nowhere any more. */
    fun expire() {
        while (true) {
            val job = index.deadlines.firstOrNull() ?: break
            if (job.acceptedAt + job.spec.deadlineMillis > state.now) break
            index.deadlines.remove(job)
            if (!job.touched) {
                book.finish(
                    job,
                    Outcome.NotRun(RefusalReason.DEADLINE_PASSED, "not started within ${job.spec.deadlineMillis} ms"),
                )
            }
        }
    }

    /** Ends jobs of teams that were removed from the table, as far as nothing of them runs. */
    fun refuseRemovedTeams() {
        val gone = index.lanes.filter { it.team.row == null && it.pendingTasks > 0 }
        if (gone.isEmpty()) return
        val jobs = state.jobs.values.filter { it.pending > 0 && it.lane in gone && !it.touched }
        jobs.forEach { book.finish(it, Outcome.NotRun(RefusalReason.UNKNOWN_TEAM, "team ${it.id.team} was removed from the table")) }
    }

    /** Deals with jobs whose last fitting executor is gone: says so, moves them, and after a grace refuses them. */
    fun checkFit() {
        index.waiting().forEach { job ->
            when {
                !index.hasExecutors(job.kind) || canFit(job) -> job.misfitSince = 0
                job.misfitSince == 0L -> {
                    job.misfitSince = state.now
                    book.setOwnReason(job, WaitReason.NO_FITTING_EXECUTOR)
                }
                state.now - job.misfitSince >= index.policy.unfittingGraceMillis -> refuseMisfit(job)
            }
        }
    }

    private fun refuseMisfit(job: Job) {
        val why = gangNeverFits(job.kind, job.spec)?.detail ?: Fit.explain(job.spec.need, index.largest(job.kind))
        val outcome = if (job.touched) Outcome.Ran(false, "stopped, and $why") else Outcome.NotRun(RefusalReason.NEVER_FITS, why)
        if (job.unresolved == 0) book.finish(job, outcome)
    }

    private fun canFit(job: Job): Boolean = index.fitsSomewhere(job.kind, job.spec.need) && gangNeverFits(job.kind, job.spec) == null

    companion object {
        /** How long until an unanswered request to stop is repeated. */
        const val KILL_REPEAT_MILLIS = 2_000L
    }
}
