package rhubarbknot.core.cell

import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason

/** Keeps jobs, their teams' accounts and the index in step after any change to a job. */
internal class JobLifecycle(
    private val index: CellIndex,
    private val estimates: Estimates,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val now get() = index.state.now

    /** Brings queue, counters and the wait record in line with [job]. To be called after each change of what is pending. */
    fun refresh(job: Job) {
        val pending = job.pending
        val team = job.lane.team
        job.lane.pendingTasks += pending - job.countedPending
        if (pending > 0 && job.countedPending == 0) team.waiting++
        if (pending == 0 && job.countedPending > 0) team.waiting--
        job.countedPending = pending
        if (pending == 0) standDown(job) else standUp(job)
    }

    private fun standDown(job: Job) {
        if (job.queued) index.dequeue(job)
        index.delayed.remove(job)
        index.deadlines.remove(job)
        index.unreserve(job)
        if (job.waitingSince < 0) return
        flushWait(job)
        job.ownReason = null
        job.waitingSince = NOT_WAITING
    }

    private fun standUp(job: Job) {
        if (job.waitingSince < 0) job.waitingSince = now
        if (job.spec.deadlineMillis > 0) index.deadlines.add(job)
        if (job.notBefore > now) {
            if (job.queued) index.dequeue(job)
            index.delayed.add(job)
        } else if (!job.queued) {
            job.estimateMillis = estimates.runMillis(job)
            job.placedBehindMillis = placeBehind(job)
            index.enqueue(job)
        }
    }

    private fun placeBehind(job: Job): Long {
        val seconds =
            job.lane.team.row
                ?.overtakeSeconds ?: 0
        return if (job.spec.urgent) 0 else minOf(seconds * MILLIS_PER_SECOND, job.estimateMillis)
    }

    /** Keeps [job] out of the queue until [until], for [reason]. */
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
        if (job.waitingSince >= 0) flushWait(job)
        job.ownReason = reason
    }

    private fun flushWait(job: Job) {
        val intervals = presentWait(job)
        job.waitingSince = now
        if (intervals.isEmpty()) return
        val list = job.waits ?: ArrayList<WaitInterval>(intervals.size).also { job.waits = it }
        intervals.forEach { WaitRecord.append(list, it) }
        val totals =
            job.lane.team.day
                .at(now)
        intervals.forEach { totals.addWait(it) }
        totals.longestWaitMillis = maxOf(totals.longestWaitMillis, list.sumOf { it.millis })
    }

    /** The intervals of the wait that has not ended yet. */
    fun presentWait(job: Job): List<WaitInterval> {
        if (job.waitingSince !in 0 until now) return emptyList()
        val own = job.ownReason
        return if (own != null) listOf(WaitInterval(own, job.waitingSince, now)) else job.lane.timeline.slice(job.waitingSince, now)
    }

    /** Everything [job] has waited for, up to now. */
    fun allWaits(job: Job): List<WaitInterval> =
        ArrayList(job.waits.orEmpty()).also { all -> presentWait(job).forEach { WaitRecord.append(all, it) } }

    /** Starts the next pending task of [job] on [executor]. */
    fun start(
        job: Job,
        executor: Executor,
    ): Task {
        val next = job.takePending()
        val task = Task(next.index, next.tries + 1, executor.slot, now, next.failures, now + job.estimateMillis)
        task.job = job
        job.active.add(task)
        job.begun++
        executor.occupy(task)
        account(task, executor, 1)
        return task
    }

    /** Takes [task] off its executor. It has surely ended. */
    fun release(task: Task) {
        val executor = index.executor(task.slot)
        task.job.active.remove(task)
        executor.vacate(task)
        index.stops.remove(task)
        account(task, executor, -1)
        index.capacityFreed(executor)
    }

    private fun account(
        task: Task,
        executor: Executor,
        sign: Int,
    ) {
        val job = task.job
        val need = job.spec.need
        val team = job.lane.team
        val pool = team.pool(job.kind)
        pool.advance(pool.dominantShare(index.total(job.kind)), now)
        pool.add(need, sign)
        team.running += sign
        if (job.spec.urgent) team.urgentRunning += sign
        executor.free = if (sign > 0) executor.free - need else executor.free + need
        index.reindex(executor)
    }

    /** Takes back a start that was never told to anyone. */
    fun undoStart(task: Task) {
        val executor = index.executor(task.slot)
        task.job.active.remove(task)
        executor.vacate(task)
        // Nothing came free: the capacity is what it was before this start, so what did not fit then does not fit now.
        account(task, executor, -1)
        task.job.begun--
        task.job.requeue(Retry(task.index, task.number - 1, task.failures))
    }

    /** Asks [task] to stop; it goes on counting until its executor says that it has ended. */
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

    /** Repeats the request to a task that did not stop in time, the hard way. */
    fun insist(
        task: Task,
        again: Long,
    ) {
        index.stops.remove(task)
        // A task that used too much keeps that mark: it is the reason that its caller is given.
        if (task.stop == StopMode.CHECKPOINT) task.stop = StopMode.KILL
        task.stopAt = again
        index.stops.add(task)
        effects += CellEffect.Stop(index.executor(task.slot).info.id, task.attempt, StopMode.KILL)
    }

    /** [task] need not stop any more. */
    fun pardon(task: Task) {
        index.stops.remove(task)
        task.stop = null
    }

    /** Ends [job] if nothing of it waits or runs any more. */
    fun settle(job: Job) {
        refresh(job)
        val lost = !job.lost.isNullOrEmpty()
        if (job.active.isNotEmpty() || job.pending > 0 || job.handover != null) return
        val known = job.outcome
        if (known != null && known !is Outcome.Unknown) return
        val outcome =
            when {
                lost -> Outcome.Unknown("the executor was lost while it may have been running this job")
                job.cancelled && !job.touched -> Outcome.NotRun(RefusalReason.CANCELLED, "cancelled before anything started")
                job.cancelled -> Outcome.Ran(false, job.failure ?: "cancelled after it had started")
                job.failed > 0 -> Outcome.Ran(false, job.failure.orEmpty())
                else -> Outcome.Ran(true, answer(job))
            }
        finish(job, outcome)
    }

    private fun answer(job: Job): String {
        val answers = job.answers.orEmpty()
        if (job.spec.tasks == 1) return answers.firstOrNull()?.text.orEmpty()
        return answers.sortedBy { it.index }.joinToString("\n") { "${it.index}\t${it.text}" }
    }

    /** Sets the outcome of [job], the first or a better known one. */
    fun finish(
        job: Job,
        outcome: Outcome,
    ) {
        if (job.outcome == outcome) return
        index.finished[index.retention(job)].remove(job)
        count(job, job.outcome, -1)
        job.outcome = outcome
        job.finishedAt = now
        count(job, outcome, 1)
        job.spec = job.spec.copy(payload = "")
        refresh(job)
        index.finished[index.retention(job)].add(job)
        effects += CellEffect.Finished(job.id, outcome)
    }

    private fun count(
        job: Job,
        outcome: Outcome?,
        by: Long,
    ) {
        val day =
            job.lane.team.day
                .at(now)
        when (outcome) {
            is Outcome.Ran -> day.ran += by
            is Outcome.NotRun -> day.notRun += by
            is Outcome.Unknown -> day.unknown += by
            null -> Unit
        }
    }

    /** Drops [job] from everything; nothing is known of it afterwards. */
    fun forget(job: Job) {
        index.finished[index.retention(job)].remove(job)
        index.lost.remove(job)
        index.leaving.remove(job)
        index.stubs.remove(job)
        state.jobs.remove(job.id)
    }

    private companion object {
        const val NOT_WAITING = -1L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
