package rhubarbknot.core.cell

import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId

/** Drains a zone that was taken out of service by handing its jobs over to other zones. */
internal class Draining(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
    private val admission: Admission,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val now get() = index.state.now

    /** Starts draining: batch tasks are checkpointed, services run until they are replaced elsewhere, calls run to their end. */
    fun begin() {
        val running = state.jobs.values.filter { it.active.isNotEmpty() && !it.isOver && it.spec.idempotent }
        running.filter { it.spec.kind == WorkKind.BATCH }.forEach { job ->
            job.active
                .filter { it.stop == null }
                .forEach { lifecycle.stop(it, StopMode.CHECKPOINT, now + index.policy.checkpointGraceMillis) }
        }
    }

    /** Offers jobs to other zones and continues handovers in progress; called on every sweep. */
    fun advance() {
        if (!state.inService && state.configured && state.others.isNotEmpty()) {
            state.jobs.values
                .filter { canLeave(it) }
                .forEach { offer(it, destination(it)) }
        }
        index.leaving.toList().forEach { continueHandover(it) }
    }

    private fun canLeave(job: Job): Boolean {
        if (job.isOver || job.handover != null || !job.lost.isNullOrEmpty()) return false
        val wholeService = job.spec.kind == WorkKind.SERVICE && job.active.isNotEmpty() && job.spec.idempotent
        return wholeService || (job.active.isEmpty() && job.pending > 0)
    }

    private fun destination(job: Job): ZoneId {
        val fitting = admission.zoneThatFits(job.kind, job.spec.need)
        val candidates = state.others.filter { job.spec.need.fitsIn(if (job.kind == ExecutorKind.WORKER) it.worker else it.endpoint) }
        return if (fitting == null) state.others[0].zone else candidates[(job.seq % candidates.size).toInt()].zone
    }

    /** Starts the handover of [job] to [zone]. */
    fun offer(
        job: Job,
        zone: ZoneId,
    ) {
        job.handover = Handover(zone, HandoverStage.OFFERED, now + SERVICE_GRACE_MILLIS, job.pending + job.active.size)
        index.leaving.add(job)
        lifecycle.refresh(job)
    }

    /** Offers jobs that fit on no executor here to a zone where they fit. */
    fun offerUnplaceable() {
        if (state.others.isEmpty()) return
        val unplaceable = index.waiting().filter { !index.fitsSomewhere(it.kind, it.spec.need) }
        unplaceable.filter { it.unresolved == 0 }.forEach { job ->
            admission.zoneThatFits(job.kind, job.spec.need)?.let { offer(job, it) }
        }
    }

    private fun continueHandover(job: Job) {
        val handover = checkNotNull(job.handover)
        if (job.active.isEmpty() && handover.stage == HandoverStage.ADOPTED) {
            finish(job, handover)
            return
        }
        if (handover.stage != HandoverStage.OFFERED && now >= handover.stopBy) stopAll(job)
        effects += CellEffect.MoveOut(transfer(job), handover.zone)
    }

    private fun finish(
        job: Job,
        handover: Handover,
    ) {
        job.handover = handover.copy(stage = HandoverStage.DONE)
        job.finishedAt = now
        index.leaving.remove(job)
        index.movedJobs.add(job)
    }

    private fun stopAll(job: Job) {
        job.active.filter { it.stop == null }.forEach { lifecycle.stop(it, StopMode.CHECKPOINT, now + index.policy.checkpointGraceMillis) }
    }

    /** The job as sent to the other zone. A service that still runs here gets new task indexes there, so that no task runs twice. */
    private fun transfer(job: Job): JobTransfer {
        val tries = maxOf(job.firstTries, job.retries.orEmpty().maxOfOrNull { it.tries } ?: 0)
        val replacesRunning = job.spec.kind == WorkKind.SERVICE && job.nextTask > 0
        val spec = if (replacesRunning) job.spec.copy(tasks = job.nextTask + checkNotNull(job.handover).replicas) else job.spec
        val retries = if (replacesRunning) emptyList() else job.retries.orEmpty().toList()
        val waits = job.waits.orEmpty().toList()
        val answers = job.answers.orEmpty().toList()
        return JobTransfer(
            job.id,
            job.queue,
            spec,
            job.fingerprint,
            tries,
            job.nextTask,
            retries,
            job.completed,
            job.failed,
            job.begun,
            answers,
            waits,
        )
    }

    fun moved(command: CellCommand.Moved) {
        val job = state.jobs[command.job] ?: return
        val handover = job.handover ?: return
        if (handover.zone != command.zone || handover.stage == HandoverStage.DONE) return
        if (handover.stage == HandoverStage.OFFERED) job.handover = handover.copy(stage = HandoverStage.ADOPTED)
        if (command.up) stopAll(job)
        if (job.active.isEmpty()) finish(job, checkNotNull(job.handover))
    }

    private companion object {
        /** Time after which a service is stopped even if its replacement has not started. */
        const val SERVICE_GRACE_MILLIS = 20_000L
    }
}
