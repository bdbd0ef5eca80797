package rhubarbknot.core.cell

import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId

/** Empties a zone that was taken out of service and hands its work to the other zones. */
internal class Draining(
    private val index: CellIndex,
    private val book: JobLifecycle,
    private val admission: Admission,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val now get() = index.state.now

    /** Starts to empty the zone: batch work checkpoints, services move first, calls run to their end. */
    fun begin() {
        val running = state.jobs.values.filter { it.active.isNotEmpty() && !it.isOver && it.spec.idempotent }
        running.filter { it.spec.kind == WorkKind.BATCH }.forEach { job ->
            job.active.filter { it.stop == null }.forEach { book.stop(it, StopMode.CHECKPOINT, now + index.policy.checkpointGraceMillis) }
        }
    }

    /** Offers what can leave to other zones; called on every tick. */
    fun advance() {
        if (!state.inService && state.configured && state.others.isNotEmpty()) {
            state.jobs.values
                .filter { canLeave(it) }
                .forEach { offer(it, otherZone(it)) }
        }
        index.leaving.toList().forEach { step(it) }
    }

    private fun canLeave(job: Job): Boolean {
        if (job.isOver || job.handover != null || !job.lost.isNullOrEmpty()) return false
        val wholeService = job.spec.kind == WorkKind.SERVICE && job.active.isNotEmpty() && job.spec.idempotent
        return wholeService || (job.active.isEmpty() && job.pending > 0)
    }

    private fun otherZone(job: Job): ZoneId {
        val fitting = admission.zoneThatFits(job.kind, job.spec.need)
        val able = state.others.filter { job.spec.need.fitsIn(if (job.kind == ExecutorKind.WORKER) it.worker else it.endpoint) }
        return if (fitting == null) state.others[0].zone else able[(job.seq % able.size).toInt()].zone
    }

    /** Hands [job] to [zone]. */
    fun offer(
        job: Job,
        zone: ZoneId,
    ) {
        job.handover = Handover(zone, HandoverStage.OFFERED, now + SERVICE_GRACE_MILLIS, job.pending + job.active.size)
        index.leaving.add(job)
        book.refresh(job)
    }

    /** Hands jobs that fit nowhere here to a zone where they do. */
    fun moveMisfits() {
        if (state.others.isEmpty()) return
        val misfits = index.waiting().filter { !index.fitsSomewhere(it.kind, it.spec.need) }
        misfits.filter { it.unresolved == 0 }.forEach { job ->
            admission.zoneThatFits(job.kind, job.spec.need)?.let { offer(job, it) }
        }
    }

    private fun step(job: Job) {
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
        index.stubs.add(job)
    }

    private fun stopAll(job: Job) {
        job.active.filter { it.stop == null }.forEach { book.stop(it, StopMode.CHECKPOINT, now + index.policy.checkpointGraceMillis) }
    }

    /** What the other zone is told; a service that still runs here gets new task numbers there, so no task runs twice. */
    private fun transfer(job: Job): JobTransfer {
        val tries = maxOf(job.firstTries, job.retries.orEmpty().maxOfOrNull { it.tries } ?: 0)
        val replaces = job.spec.kind == WorkKind.SERVICE && job.nextTask > 0
        val spec = if (replaces) job.spec.copy(tasks = job.nextTask + checkNotNull(job.handover).replicas) else job.spec
        val retries = if (replaces) emptyList() else job.retries.orEmpty().toList()
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
        /** How long a service waits for its replacement before it stops all the same. */
        const val SERVICE_GRACE_MILLIS = 20_000L
    }
}
