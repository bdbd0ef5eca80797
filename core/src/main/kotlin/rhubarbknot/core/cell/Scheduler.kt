package rhubarbknot.core.cell

import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.WorkKind

/**
 * Hands out free capacity. One pass serves urgent work first, then the team that is furthest below its share, task
 * by task, until nothing that waits fits. A team's dominant share counts both at present and over the recent past, so
 * a team that was starved goes first until it is made whole, and nobody else stops meanwhile.
 */
internal class Scheduler(
    private val index: CellIndex,
    private val book: JobLifecycle,
    private val estimates: Estimates,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val policy get() = index.policy
    private val now get() = index.state.now
    private val placement = Placement(index)
    private val preemptor = Preemptor(index, book)
    private val reservations = Reservations(index, estimates)

    /** Runs a pass for each kind of executor for which something changed. */
    fun pass() {
        wakeDelayed()
        index.takeDirty().forEach { passFor(it) }
    }

    private fun wakeDelayed() {
        while (true) {
            val job = index.delayed.firstOrNull() ?: return
            if (job.notBefore > now) return
            index.delayed.remove(job)
            book.setOwnReason(job, null)
            book.refresh(job)
        }
    }

    private fun passFor(kind: ExecutorKind) {
        val lanes = index.lanes.filter { it.kind == kind && !it.isEmpty }
        if (lanes.isEmpty()) return
        val stop = blockedReason(kind)
        if (stop != null) {
            lanes.forEach { it.timeline.set(stop, now) }
            return
        }
        lanes.forEach { rank(it) }
        serve(lanes, urgent = true)
        serve(lanes, urgent = false)
        lanes.filter { !it.isEmpty }.forEach { lane -> lane.timeline.set(lane.reason ?: WaitReason.CELL_FULL, now) }
    }

    private fun blockedReason(kind: ExecutorKind): WaitReason? =
        when {
            !state.configured || !state.inService -> WaitReason.ZONE_OUT
            state.held -> WaitReason.ZONE_CUT_OFF
            !index.hasExecutors(kind) -> WaitReason.NO_EXECUTORS
            else -> null
        }

    private fun rank(lane: TeamBacklog) {
        lane.reason = null
        lane.key = key(lane)
    }

    private fun key(lane: TeamBacklog): Double {
        if (!policy.fairByShare) return firstSeq(lane).toDouble()
        val pool = lane.team.pool(lane.kind)
        val present = pool.dominantShare(index.total(lane.kind))
        if (now - pool.averagedAt >= AVERAGE_MILLIS) pool.advance(present, now)
        return (present + PAST_WEIGHT * pool.average) / maxOf(1, lane.team.row?.share ?: 1)
    }

    private fun firstSeq(lane: TeamBacklog): Long =
        minOf(lane.urgent.firstOrNull()?.seq ?: Long.MAX_VALUE, lane.normal.firstOrNull()?.seq ?: Long.MAX_VALUE)

    /** Serves lanes in order of need. A lane that started something moves back to where it belongs now. */
    private fun serve(
        lanes: List<TeamBacklog>,
        urgent: Boolean,
    ) {
        val open = lanes.filterTo(ArrayList()) { queue(it, urgent).isNotEmpty() }
        open.sortWith(BY_KEY)
        var at = 0
        while (at < open.size) {
            val lane = open[at]
            val blocked = serveOne(lane, urgent, isNeediest = at == 0)
            if (blocked != null) {
                lane.reason = reasonFor(blocked, lane, open)
                at++
            } else if (queue(lane, urgent).isEmpty()) {
                open.removeAt(at)
            } else {
                lane.key = key(lane)
                moveBack(open, at)
            }
        }
    }

    private fun moveBack(
        open: ArrayList<TeamBacklog>,
        from: Int,
    ) {
        var at = from
        val lane = open[at]
        while (at + 1 < open.size && open[at + 1].key < lane.key) {
            open[at] = open[at + 1]
            at++
        }
        open[at] = lane
    }

    private fun queue(
        lane: TeamBacklog,
        urgent: Boolean,
    ) = if (urgent) lane.urgent else lane.normal

    private fun reasonFor(
        blocked: WaitReason,
        lane: TeamBacklog,
        lanes: List<TeamBacklog>,
    ): WaitReason {
        val othersFirst = lanes[0].key < lane.key
        return if (blocked == WaitReason.CELL_FULL && othersFirst) WaitReason.OTHERS_BELOW_SHARE else blocked
    }

    /** Starts one task, or one whole gang, of [lane]; returns why nothing of it can start. */
    private fun serveOne(
        lane: TeamBacklog,
        urgent: Boolean,
        isNeediest: Boolean,
    ): WaitReason? {
        limitReason(lane, urgent)?.let { return it }
        val queue = queue(lane, urgent)
        val tried = lane.tried(urgent)
        if (tried != null && !index.mayFit(lane.kind, tried)) {
            headBlocked(queue.first(), urgent, isNeediest)
            return WaitReason.CELL_FULL
        }
        return if (tryJobs(lane, queue, urgent, isNeediest)) null else WaitReason.CELL_FULL
    }

    private fun tryJobs(
        lane: TeamBacklog,
        queue: Collection<Job>,
        urgent: Boolean,
        isNeediest: Boolean,
    ): Boolean {
        val generation = index.freeOf(lane.kind).generation
        var smallest = queue.first().spec.need
        val held = ArrayList<Job>(0)
        var depth = 0
        for (job in queue) {
            if (depth++ >= policy.backfillDepth) break
            if (if (job.spec.gang) startGang(job, held) else startTask(job)) {
                delayGangs(held)
                return true
            }
            if (depth == 1) headBlocked(job, urgent, isNeediest)
            smallest = smallest.min(job.spec.need)
        }
        lane.setTried(urgent, FailedPlacement(generation, smallest))
        delayGangs(held)
        return false
    }

    // A gang that did not fit is tried again a little later, not in every pass.
    private fun delayGangs(gangs: List<Job>) = gangs.forEach { book.delay(it, now + policy.gangRetryMillis, WaitReason.GANG_ASSEMBLING) }

    private fun limitReason(
        lane: TeamBacklog,
        urgent: Boolean,
    ): WaitReason? {
        val team = lane.team
        return when {
            team.room <= 0 -> WaitReason.TEAM_AT_CEILING
            urgent && team.urgentRunning >= (team.row?.urgent ?: 0) -> WaitReason.URGENT_ALLOWANCE_USED
            else -> null
        }
    }

    private fun startTask(job: Job): Boolean {
        val executor = placement.find(job) ?: reservations.backfill(job) ?: return false
        announce(book.start(job, executor))
        book.refresh(job)
        return true
    }

    private fun startGang(
        job: Job,
        held: MutableList<Job>,
    ): Boolean {
        val size = job.pending
        val team = job.lane.team
        val allWait = job.unresolved == 0
        val room = size <= team.room
        val tasks = if (allWait && room) placeAll(job, size) else null
        if (tasks == null) {
            held.add(job)
            return false
        }
        tasks.forEach { announce(it) }
        book.refresh(job)
        return true
    }

    private fun placeAll(
        job: Job,
        size: Int,
    ): List<Task>? {
        val tasks = ArrayList<Task>(size)
        while (tasks.size < size) {
            val executor = placement.find(job) ?: break
            tasks.add(book.start(job, executor))
        }
        if (tasks.size == size) return tasks
        tasks.asReversed().forEach { book.undoStart(it) }
        index.freeOf(job.kind).forgetMisfit(job.spec.need)
        job.retries?.sortBy { it.index }
        return null
    }

    private fun announce(task: Task) {
        val info = index.executor(task.slot).info
        effects += CellEffect.Start(info.id, info.incarnation, info.session, task.attempt, task.job.spec)
    }

    private fun headBlocked(
        job: Job,
        urgent: Boolean,
        isNeediest: Boolean,
    ) {
        if (urgent && job.spec.kind != WorkKind.CALL) preemptor.makeRoom(job)
        val waited = now - maxOf(0, job.waitingSince)
        if (isNeediest && waited >= policy.reserveAfterMillis && reservations.isWorthwhile(job)) reservations.reserve(job)
    }

    private companion object {
        const val PAST_WEIGHT = 0.5

        /** How old the average of a team's past use may be when teams are ranked. */
        const val AVERAGE_MILLIS = 1_000L
        val BY_KEY: Comparator<TeamBacklog> = Comparator { a, b -> a.key.compareTo(b.key) }
    }
}
