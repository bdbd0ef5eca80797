package rhubarbknot.core.cell

import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason

/** Applies changes to jobs and keeps the counters of their teams and the index consistent with them. */
internal class JobLifecycle(
    private val index: CellIndex,
    private val estimates: Estimates,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val now get() = index.state.now

    /** Updates the queue, the counters and the recorded waits. Must be called whenever the pending tasks of [job] change. */
    fun refresh(job: Job) {
        val pending = job.pending
        val team = job.backlog.team
        job.backlog.pendingTasks += pending - job.countedPending
        if (pending > 0 && job.countedPending == 0) team.waiting++
        if (pending == 0 && job.countedPending > 0) team.waiting--
        job.countedPending = pending
        if (pending == 0) stopWaiting(job) else startWaiting(job)
    }

    private fun stopWaiting(job: Job) {
        if (job.queued) index.dequeue(job)
        index.delayed.remove(job)
        index.deadlines.remove(job)
        index.unreserve(job)
        if (job.waitingSince < 0) return
        recordWait(job)
        job.ownReason = null
        job.waitingSince = NOT_WAITING
    }

    private fun startWaiting(job: Job) {
        if (job.waitingSince < 0) job.waitingSince = now
        if (job.spec.deadlineMillis > 0) index.deadlines.add(job)
        if (job.notBefore > now) {
            if (job.queued) index.dequeue(job)
            index.delayed.add(job)
        } else if (!job.queued) {
            job.estimateMillis = estimates.runMillis(job)
            job.placedBehindMillis = queueOffsetMillis(job)
            index.enqueue(job)
        }
    }

    private fun queueOffsetMillis(job: Job): Long {
        val overtakeSeconds =
            job.backlog.team.row
                ?.overtakeSeconds ?: 0
        return if (job.spec.urgent) 0 else minOf(overtakeSeconds * MILLIS_PER_SECOND, job.estimateMillis)
    }

    /** Keeps [job] out of the queue until cell time [until] and gives [reason] as the cause of the wait. */
    fun delay(
        job: Job,
        until: Long,
        reason: WaitReason,
    ) {
        index.delayed.remove(job)
        setOwnReason(job, reason)
        job.notBefore = until
        refresh(job)
    }

    fun setOwnReason(
        job: Job,
        reason: WaitReason?,
    ) {
        if (job.ownReason == reason) return
        if (job.waitingSince >= 0) recordWait(job)
        job.ownReason = reason
    }

    private fun recordWait(job: Job) {
        val intervals = currentWait(job)
        job.waitingSince = now
        if (intervals.isEmpty()) return
        val list = job.waits ?: ArrayList<WaitInterval>(intervals.size).also { job.waits = it }
        intervals.forEach { WaitRecord.append(list, it) }
        val totals =
            job.backlog.team.day
                .at(now)
        intervals.forEach { totals.addWait(it) }
        totals.longestWaitMillis = maxOf(totals.longestWaitMillis, list.sumOf { it.millis })
    }

    /** The intervals of the current wait, up to now; empty if [job] does not wait. */
    fun currentWait(job: Job): List<WaitInterval> {
        if (job.waitingSince !in 0 until now) return emptyList()
        val own = job.ownReason
        return if (own != null) listOf(WaitInterval(own, job.waitingSince, now)) else job.backlog.timeline.slice(job.waitingSince, now)
    }

    /** All waits of [job], including the current one up to now. */
    fun allWaits(job: Job): List<WaitInterval> =
        ArrayList(job.waits.orEmpty()).also { all -> currentWait(job).forEach { WaitRecord.append(all, it) } }

    /** Starts the next pending task of [job] on [executor]. */
    fun start(
        job: Job,
        executor: Executor,
    ): Task {
        val next = job.takePending()
        val task = Task(next.index, next.tries + 1, executor.slot, now, next.failures, now + job.estimateMillis, next.executorLosses)
        task.job = job
        job.active.add(task)
        job.begun++
        executor.addTask(task)
        updateUsage(task, executor, 1)
        return task
    }

    /** Removes [task], which is known to have ended, from its executor and frees its resources. */
    fun release(task: Task) {
        val executor = index.executor(task.slot)
        task.job.active.remove(task)
        executor.removeTask(task)
        index.stops.remove(task)
        updateUsage(task, executor, -1)
        index.capacityFreed(executor)
    }

    private fun updateUsage(
        task: Task,
        executor: Executor,
        sign: Int,
    ) {
        val job = task.job
        val need = job.spec.need
        val team = job.backlog.team
        val pool = team.pool(job.kind)
        pool.advance(pool.dominantShare(index.total(job.kind)), now)
        pool.add(need, sign)
        team.running += sign
        if (job.spec.urgent) team.urgentRunning += sign
        executor.free = if (sign > 0) executor.free - need else executor.free + need
        index.reindex(executor)
    }

    /** Reverts a start for which no [CellEffect.Start] was emitted. */
    fun undoStart(task: Task) {
        val executor = index.executor(task.slot)
        task.job.active.remove(task)
        executor.removeTask(task)
        // Not reported as freed capacity: it equals that before this start, so what did not fit then does not fit now.
        updateUsage(task, executor, -1)
        task.job.begun--
        task.job.requeue(Retry(task.index, task.number - 1, task.failures, task.executorLosses))
    }

    /** Asks [task] to stop. It holds its resources until its executor reports that it has ended. */
    fun stop(
        task: Task,
        mode: StopMode,
        killAt: Long,
    ) {
        index.stops.remove(task)
        task.stop = mode
        task.stopAt = killAt
        index.stops.add(task)
        effects += CellEffect.Stop(index.executor(task.slot).info.id, task.attempt, mode)
    }

    /** Sends a kill to a task that did not stop in time; the kill is repeated at [nextKillAt]. */
    fun repeatStop(
        task: Task,
        nextKillAt: Long,
    ) {
        index.stops.remove(task)
        // THROTTLE is kept, since the failure that the caller sees is derived from it.
        if (task.stop == StopMode.CHECKPOINT) task.stop = StopMode.KILL
        task.stopAt = nextKillAt
        index.stops.add(task)
        effects += CellEffect.Stop(index.executor(task.slot).info.id, task.attempt, StopMode.KILL)
    }

    /** Cancels the request to stop [task]. */
    fun withdrawStop(task: Task) {
        index.stops.remove(task)
        task.stop = null
    }

    /** Sets the outcome of [job] once none of its tasks is pending or running. */
    fun finishIfDone(job: Job) {
        refresh(job)
        val lost = !job.lost.isNullOrEmpty()
        if (job.active.isNotEmpty() || job.pending > 0 || job.handover != null) return
        val previous = job.outcome
        if (previous != null && previous !is Outcome.Unknown) return
        val outcome =
            when {
                lost -> Outcome.Unknown("the executor was lost while it may have been running this job")
                job.cancelled && !job.mayHaveRun -> Outcome.NotRun(RefusalReason.CANCELLED, "cancelled before anything started")
                job.cancelled -> Outcome.Ran(false, job.failure ?: "cancelled after it had started")
                job.failed > 0 -> Outcome.Ran(false, job.failure.orEmpty())
                else -> Outcome.Ran(true, combinedAnswer(job))
            }
        finish(job, outcome)
    }

    private fun combinedAnswer(job: Job): String {
        val answers = job.answers.orEmpty()
        if (job.spec.tasks == 1) return answers.firstOrNull()?.text.orEmpty()
        return answers.sortedBy { it.index }.joinToString("\n") { "${it.index}\t${it.text}" }
    }

    /** Sets the outcome of [job]: the first one, or the definite one that replaces [Outcome.Unknown]. */
    fun finish(
        job: Job,
        outcome: Outcome,
    ) {
        if (job.outcome == outcome) return
        index.finished[index.retentionClass(job)].remove(job)
        countOutcome(job, job.outcome, -1)
        job.outcome = outcome
        job.finishedAt = now
        countOutcome(job, outcome, 1)
        job.spec = job.spec.copy(payload = "")
        refresh(job)
        index.finished[index.retentionClass(job)].add(job)
        effects += CellEffect.Finished(job.id, outcome)
    }

    private fun countOutcome(
        job: Job,
        outcome: Outcome?,
        by: Long,
    ) {
        val day =
            job.backlog.team.day
                .at(now)
        when (outcome) {
            is Outcome.Ran -> day.ran += by
            is Outcome.NotRun -> day.notRun += by
            is Outcome.Unknown -> day.unknown += by
            null -> Unit
        }
    }

    /** Removes [job] from the state and the index; requests for it are answered as for an unknown job afterwards. */
    fun forget(job: Job) {
        index.finished[index.retentionClass(job)].remove(job)
        index.lost.remove(job)
        index.leaving.remove(job)
        index.movedJobs.remove(job)
        state.jobs.remove(job.id)
    }

    private companion object {
        const val NOT_WAITING = -1L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
