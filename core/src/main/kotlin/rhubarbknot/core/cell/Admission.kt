package rhubarbknot.core.cell

import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.ZoneId

/** Accepts, refuses and cancels jobs. A job that can't run is refused at submission where that is known already. */
internal class Admission(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state

    fun submit(command: CellCommand.Submit) {
        val existing = state.jobs[command.job]
        if (existing != null) {
            resubmit(command, existing)
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

    private fun resubmit(
        command: CellCommand.Submit,
        existing: Job,
    ) {
        effects +=
            if (existing.fingerprint != command.fingerprint) {
                CellEffect.Refused(command.request, RefusalReason.ID_REUSED, "id ${command.job.local} was used for another request")
            } else {
                CellEffect.Accepted(command.request, existing.id, duplicate = true, existing.outcome, existing.handover?.zone)
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
        val capacity = index.taskCapacity(kind, spec.need)
        if (capacity >= spec.tasks) return null
        val detail = "all ${spec.tasks} parts must start together, and this zone has room for $capacity at the same time when it is empty"
        return Outcome.NotRun(RefusalReason.NEVER_FITS, detail)
    }

    private fun neverFits(
        kind: ExecutorKind,
        need: Resources,
    ): Outcome.NotRun? {
        if (!index.hasExecutors(kind) || index.fitsSomewhere(kind, need) || zoneThatFits(kind, need) != null) return null
        return Outcome.NotRun(RefusalReason.NEVER_FITS, Fit.explain(need, index.largest(kind)))
    }

    /** The first other zone with an executor large enough for [need], or null. */
    fun zoneThatFits(
        kind: ExecutorKind,
        need: Resources,
    ): ZoneId? = state.others.firstOrNull { need.fitsIn(if (kind == ExecutorKind.WORKER) it.worker else it.endpoint) }?.zone

    private fun admit(job: Job) {
        val team = state.teams.getOrPut(job.id.team) { TeamState(job.id.team) }
        team.day.at(state.now).asked++
        job.backlog = index.backlogsOf(team)[job.kind.ordinal]
        state.jobs[job.id] = job
        lifecycle.refresh(job)
    }

    fun adopt(command: CellCommand.Adopt) {
        val transfer = command.transfer
        val existing = state.jobs[transfer.id]
        val job = existing ?: restore(transfer).also { admit(it) }
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

    /** Cancels those of [jobs] that are known here and neither finished nor handed over to another zone. */
    fun cancel(
        request: RequestId,
        jobs: List<JobId>,
    ) {
        val found = jobs.mapNotNull { state.jobs[it] }
        val cancellable = found.filter { it.outcome == null && it.handover == null }
        cancellable.forEach { cancel(it) }
        effects += CellEffect.Cancelled(request, cancellable.size, jobs.size - found.size)
    }

    private fun cancel(job: Job) {
        job.cancelled = true
        job.active.toList().forEach { lifecycle.stop(it, StopMode.KILL, state.now + KILL_REPEAT_MILLIS) }
        lifecycle.finishIfDone(job)
    }

    /** Refuses jobs whose start deadline has passed before any task of them started. */
    fun refuseExpired() {
        while (true) {
            val job = index.deadlines.firstOrNull() ?: break
            if (job.acceptedAt + job.spec.deadlineMillis > state.now) break
            index.deadlines.remove(job)
            if (!job.mayHaveRun) {
                lifecycle.finish(
                    job,
                    Outcome.NotRun(RefusalReason.DEADLINE_PASSED, "not started within ${job.spec.deadlineMillis} ms"),
                )
            }
        }
    }

    /** Refuses waiting jobs of teams that were removed from the table, unless a task of them may have run. */
    fun refuseRemovedTeams() {
        val removed = index.backlogs.filter { it.team.row == null && it.pendingTasks > 0 }
        if (removed.isEmpty()) return
        val jobs = state.jobs.values.filter { it.pending > 0 && it.backlog in removed && !it.mayHaveRun }
        jobs.forEach { lifecycle.finish(it, Outcome.NotRun(RefusalReason.UNKNOWN_TEAM, "team ${it.id.team} was removed from the table")) }
    }

    /**
     * Marks waiting jobs that fit on no executor any more and refuses them after a grace period. Within that period,
     * [Draining] moves them to another zone if they fit there.
     */
    fun checkPlaceable() {
        index.waiting().forEach { job ->
            when {
                !index.hasExecutors(job.kind) || fitsZone(job) -> job.misfitSince = 0
                job.misfitSince == 0L -> {
                    job.misfitSince = state.now
                    lifecycle.setOwnReason(job, WaitReason.NO_FITTING_EXECUTOR)
                }
                state.now - job.misfitSince >= index.policy.unfittingGraceMillis -> refuseUnplaceable(job)
            }
        }
    }

    private fun refuseUnplaceable(job: Job) {
        val why = gangNeverFits(job.kind, job.spec)?.detail ?: Fit.explain(job.spec.need, index.largest(job.kind))
        val outcome = if (job.mayHaveRun) Outcome.Ran(false, "stopped, and $why") else Outcome.NotRun(RefusalReason.NEVER_FITS, why)
        if (job.unresolved == 0) lifecycle.finish(job, outcome)
    }

    private fun fitsZone(job: Job): Boolean = index.fitsSomewhere(job.kind, job.spec.need) && gangNeverFits(job.kind, job.spec) == null

    companion object {
        /** Time after which a kill is repeated if the task has not ended. */
        const val KILL_REPEAT_MILLIS = 2_000L
    }
}
