package rhubarbknot.core.cell

import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.WorkKind

/**
 * Assigns free capacity to waiting jobs. A pass starts urgent tasks first, then task by task those of the team furthest
 * below its share, until no waiting task fits. The ranking combines a team's present dominant share with its recent
 * average, so that a team that got less than its share has precedence until it has caught up. No task is stopped for that.
 */
internal class Scheduler(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
    private val estimates: Estimates,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val policy get() = index.policy
    private val now get() = index.state.now
    private val placement = Placement(index)
    private val preemptor = Preemptor(index, lifecycle)
    private val reservations = Reservations(index, estimates)

    /** Runs a scheduling pass for each kind of executor for which something changed. */
    fun schedule() {
        wakeDelayed()
        index.takeDirty().forEach { scheduleKind(it) }
    }

    private fun wakeDelayed() {
        while (true) {
            val job = index.delayed.firstOrNull() ?: return
            if (job.notBefore > now) return
            index.delayed.remove(job)
            lifecycle.setOwnReason(job, null)
            lifecycle.refresh(job)
        }
    }

    private fun scheduleKind(kind: ExecutorKind) {
        val backlogs = index.backlogs.filter { it.kind == kind && !it.isEmpty }
        if (backlogs.isEmpty()) return
        val blocked = blockedReason(kind)
        if (blocked != null) {
            backlogs.forEach { it.timeline.set(blocked, now) }
            return
        }
        backlogs.forEach { rank(it) }
        serveAll(backlogs, urgent = true)
        serveAll(backlogs, urgent = false)
        backlogs.filter { !it.isEmpty }.forEach { backlog -> backlog.timeline.set(backlog.reason ?: WaitReason.CELL_FULL, now) }
    }

    private fun blockedReason(kind: ExecutorKind): WaitReason? =
        when {
            !state.configured || !state.inService -> WaitReason.ZONE_OUT
            state.held -> WaitReason.ZONE_CUT_OFF
            !index.hasExecutors(kind) -> WaitReason.NO_EXECUTORS
            else -> null
        }

    private fun rank(backlog: TeamBacklog) {
        backlog.reason = null
        backlog.sortKey = sortKey(backlog)
    }

    private fun sortKey(backlog: TeamBacklog): Double {
        if (!policy.fairByShare) return firstSeq(backlog).toDouble()
        val pool = backlog.team.pool(backlog.kind)
        val present = pool.dominantShare(index.total(backlog.kind))
        if (now - pool.averagedAt >= MAX_AVERAGE_AGE_MILLIS) pool.advance(present, now)
        return (present + AVERAGE_WEIGHT * pool.average) / maxOf(1, backlog.team.row?.share ?: 1)
    }

    private fun firstSeq(backlog: TeamBacklog): Long =
        minOf(backlog.urgent.firstOrNull()?.seq ?: Long.MAX_VALUE, backlog.normal.firstOrNull()?.seq ?: Long.MAX_VALUE)

    /** Starts tasks of [backlogs] in the order of their sort keys. A backlog that started a task is moved to its new position. */
    private fun serveAll(
        backlogs: List<TeamBacklog>,
        urgent: Boolean,
    ) {
        val active = backlogs.filterTo(ArrayList()) { queue(it, urgent).isNotEmpty() }
        active.sortWith(BY_SORT_KEY)
        var position = 0
        while (position < active.size) {
            val backlog = active[position]
            val blocked = startNext(backlog, urgent, isFirst = position == 0)
            if (blocked != null) {
                backlog.reason = reasonFor(blocked, backlog, active)
                position++
            } else if (queue(backlog, urgent).isEmpty()) {
                active.removeAt(position)
            } else {
                backlog.sortKey = sortKey(backlog)
                moveBack(active, position)
            }
        }
    }

    private fun moveBack(
        active: ArrayList<TeamBacklog>,
        from: Int,
    ) {
        var position = from
        val backlog = active[position]
        while (position + 1 < active.size && active[position + 1].sortKey < backlog.sortKey) {
            active[position] = active[position + 1]
            position++
        }
        active[position] = backlog
    }

    private fun queue(
        backlog: TeamBacklog,
        urgent: Boolean,
    ) = if (urgent) backlog.urgent else backlog.normal

    private fun reasonFor(
        blocked: WaitReason,
        backlog: TeamBacklog,
        backlogs: List<TeamBacklog>,
    ): WaitReason {
        val othersBefore = backlogs[0].sortKey < backlog.sortKey
        return if (blocked == WaitReason.CELL_FULL && othersBefore) WaitReason.OTHERS_BELOW_SHARE else blocked
    }

    /** Starts one task, or one whole gang, of [backlog]. Returns the reason if none can start, or null. */
    private fun startNext(
        backlog: TeamBacklog,
        urgent: Boolean,
        isFirst: Boolean,
    ): WaitReason? {
        limitReason(backlog, urgent)?.let { return it }
        val queue = queue(backlog, urgent)
        val failed = backlog.failedPlacement(urgent)
        if (failed != null && !index.mayFit(backlog.kind, failed)) {
            onHeadBlocked(queue.first(), urgent, isFirst)
            return WaitReason.CELL_FULL
        }
        return if (startFirstFitting(backlog, queue, urgent, isFirst)) null else WaitReason.CELL_FULL
    }

    private fun startFirstFitting(
        backlog: TeamBacklog,
        queue: Collection<Job>,
        urgent: Boolean,
        isFirst: Boolean,
    ): Boolean {
        val generation = index.freeIndex(backlog.kind).generation
        var smallest = queue.first().spec.need
        val unplacedGangs = ArrayList<Job>(0)
        var depth = 0
        for (job in queue) {
            if (depth++ >= policy.backfillDepth) break
            if (if (job.spec.gang) startGang(job, unplacedGangs) else startTask(job)) {
                delayGangs(unplacedGangs)
                return true
            }
            if (depth == 1) onHeadBlocked(job, urgent, isFirst)
            smallest = smallest.min(job.spec.need)
        }
        backlog.setFailedPlacement(urgent, FailedPlacement(generation, smallest))
        delayGangs(unplacedGangs)
        return false
    }

    // A gang that did not fit is retried after a delay rather than in every pass.
    private fun delayGangs(gangs: List<Job>) =
        gangs.forEach { lifecycle.delay(it, now + policy.gangRetryMillis, WaitReason.GANG_ASSEMBLING) }

    private fun limitReason(
        backlog: TeamBacklog,
        urgent: Boolean,
    ): WaitReason? {
        val team = backlog.team
        return when {
            team.headroom <= 0 -> WaitReason.TEAM_AT_CEILING
            urgent && team.urgentRunning >= (team.row?.urgent ?: 0) -> WaitReason.URGENT_ALLOWANCE_USED
            else -> null
        }
    }

    private fun startTask(job: Job): Boolean {
        val executor = placement.find(job) ?: reservations.backfill(job) ?: return false
        announce(lifecycle.start(job, executor))
        lifecycle.refresh(job)
        return true
    }

    private fun startGang(
        job: Job,
        unplacedGangs: MutableList<Job>,
    ): Boolean {
        val size = job.pending
        val team = job.backlog.team
        val allPending = job.unresolved == 0
        val withinLimit = size <= team.headroom
        val tasks = if (allPending && withinLimit) placeAll(job, size) else null
        if (tasks == null) {
            unplacedGangs.add(job)
            return false
        }
        tasks.forEach { announce(it) }
        lifecycle.refresh(job)
        return true
    }

    private fun placeAll(
        job: Job,
        size: Int,
    ): List<Task>? {
        val tasks = ArrayList<Task>(size)
        while (tasks.size < size) {
            val executor = placement.find(job) ?: break
            tasks.add(lifecycle.start(job, executor))
        }
        if (tasks.size == size) return tasks
        tasks.asReversed().forEach { lifecycle.undoStart(it) }
        index.freeIndex(job.kind).forgetNoFit(job.spec.need)
        job.retries?.sortBy { it.index }
        return null
    }

    private fun announce(task: Task) {
        val info = index.executor(task.slot).info
        effects += CellEffect.Start(info.id, info.incarnation, info.session, task.attempt, task.job.spec)
    }

    private fun onHeadBlocked(
        job: Job,
        urgent: Boolean,
        isFirst: Boolean,
    ) {
        if (urgent && job.spec.kind != WorkKind.CALL) preemptor.preemptFor(job)
        val waited = now - maxOf(0, job.waitingSince)
        if (isFirst && waited >= policy.reserveAfterMillis && reservations.isWorthwhile(job)) reservations.reserve(job)
    }

    private companion object {
        const val AVERAGE_WEIGHT = 0.5

        /** Maximum age of a team's average share when teams are ranked. */
        const val MAX_AVERAGE_AGE_MILLIS = 1_000L
        val BY_SORT_KEY: Comparator<TeamBacklog> = Comparator { a, b -> a.sortKey.compareTo(b.sortKey) }
    }
}
