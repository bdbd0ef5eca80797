package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import java.util.TreeMap
import java.util.TreeSet

/** What a cell derives from its state to find things quickly. Equal states give equal indexes. */
internal class CellIndex(
    val state: CellState,
    val policy: CellPolicy,
) {
    private val lanesByTeam = LinkedHashMap<TeamId, Array<TeamBacklog>>()
    private val free = ExecutorKind.entries.map { FreeCapacityIndex(it) }
    private val totals = ExecutorKind.entries.map { PoolUsage() }
    private var slots = arrayOfNulls<Executor>(INITIAL_SLOTS)
    private val freeSlots = java.util.BitSet().also { it.set(0, INITIAL_SLOTS) }

    val lanes = ArrayList<TeamBacklog>()
    val delayed = TreeSet<Job>(compareBy({ it.notBefore }, { it.seq }))
    val deadlines = TreeSet<Job>(compareBy({ it.acceptedAt + it.spec.deadlineMillis }, { it.seq }))
    val stops = TreeSet<Task>(compareBy({ it.stopAt }, { it.job.seq }, { it.index }, { it.number }))
    val leaving = TreeSet<Job>(compareBy { it.seq })
    val stubs = finishedSet()
    val finished = listOf(finishedSet(), finishedSet())
    val reserved = TreeMap<Job, TreeSet<Executor>>(compareBy { it.seq })
    val lost = TreeSet<Job>(compareBy { it.seq })
    val quarantined = executorSet()
    private val copies = ExecutorKind.entries.map { HashMap<Resources, Long>() }
    private val largest = HashMap<ExecutorKind, Resources>()
    private val fits = ExecutorKind.entries.map { HashMap<Resources, Boolean>() }

    init {
        state.teams.values.forEach { lanesOf(it) }
        state.executors.values
            .sortedBy { it.slot }
            .forEach { occupy(it) }
        state.jobs.values.forEach { link(it) }
        state.executors.values.forEach { executor ->
            addTotal(executor, 1)
            reindex(executor)
            if (executor.status == ExecutorStatus.QUARANTINED) quarantined.add(executor)
        }
        restoreReservations()
    }

    private fun executorSet() = TreeSet<Executor>(compareBy { it.slot })

    private fun finishedSet() = TreeSet<Job>(compareBy({ it.finishedAt }, { it.seq }))

    private fun link(job: Job) {
        job.lane = lanesOf(state.teams.getValue(job.id.team))[job.kind.ordinal]
        job.active.forEach { task ->
            task.job = job
            val executor = checkNotNull(slots[task.slot])
            executor.occupy(task)
            executor.free -= job.spec.need
            if (task.stop != null) stops.add(task)
        }
        if (job.outcome != null) finished[retention(job)].add(job)
        if (job.handover?.let { it.stage != HandoverStage.DONE } == true) leaving.add(job)
        if (job.handover?.stage == HandoverStage.DONE) stubs.add(job)
        if (!job.lost.isNullOrEmpty()) lost.add(job)
        val waits = job.pending
        job.countedPending = waits
        job.lane.pendingTasks += waits
        if (waits == 0) return
        if (job.spec.deadlineMillis > 0) deadlines.add(job)
        if (job.notBefore > state.now) delayed.add(job) else putInQueue(job)
    }

    private fun restoreReservations() {
        state.executors.values
            .filter { it.reservedFor != null }
            .sortedBy { it.slot }
            .forEach { executor ->
                val job = state.jobs[executor.reservedFor] ?: return@forEach
                reserve(job, executor)
            }
    }

    fun reserve(
        job: Job,
        executor: Executor,
    ) {
        executor.reservedFor = job.id
        reserved.getOrPut(job) { executorSet() }.add(executor)
        reindex(executor)
    }

    fun unreserve(job: Job) {
        reserved.remove(job)?.forEach { executor ->
            executor.reservedFor = null
            capacityFreed(executor)
        }
    }

    fun retention(job: Job): Int = if (job.spec.idempotent) 0 else 1

    fun enqueue(job: Job) {
        putInQueue(job)
        touch(job.kind)
    }

    private fun putInQueue(job: Job) {
        job.lane.queueOf(job).add(job)
        job.lane.forgetTried(job)
        job.queued = true
    }

    /** The next pass looks at executors of [kind]. Part of the state, so that a restored replica passes when others do. */
    fun touch(kind: ExecutorKind) {
        state.dirtyKinds = state.dirtyKinds or (1 shl kind.ordinal)
    }

    fun touchAll() = ExecutorKind.entries.forEach { touch(it) }

    /** The kinds to pass over now; forgets them. */
    fun takeDirty(): List<ExecutorKind> {
        val kinds = ExecutorKind.entries.filter { state.dirtyKinds and (1 shl it.ordinal) != 0 }
        state.dirtyKinds = 0
        return kinds
    }

    fun dequeue(job: Job) {
        job.lane.queueOf(job).remove(job)
        job.lane.forgetTried(job)
        job.queued = false
    }

    fun lanesOf(team: TeamState): Array<TeamBacklog> =
        lanesByTeam.getOrPut(team.team) {
            Array(ExecutorKind.entries.size) { i ->
                TeamBacklog(
                    team,
                    ExecutorKind.entries[i],
                    policy.order,
                ) { slot -> slots[slot]?.info?.rack.orEmpty() }.also { lanes.add(it) }
            }
        }

    fun executor(slot: Int): Executor = checkNotNull(slots[slot])

    fun nextSlot(): Int = freeSlots.nextSetBit(0)

    fun occupy(executor: Executor) {
        val slot = executor.slot
        while (slot >= slots.size - 1) {
            freeSlots.set(slots.size, slots.size * 2)
            slots = slots.copyOf(slots.size * 2)
        }
        slots[slot] = executor
        freeSlots.clear(slot)
    }

    fun vacate(executor: Executor) {
        freeOf(executor.info.kind).remove(executor)
        slots[executor.slot] = null
        freeSlots.set(executor.slot)
    }

    fun freeOf(kind: ExecutorKind): FreeCapacityIndex = free[kind.ordinal]

    fun total(kind: ExecutorKind): PoolUsage = totals[kind.ordinal]

    /** Whether anything that [tried] covers may fit now: capacity came free since, or is kept for somebody. */
    fun mayFit(
        kind: ExecutorKind,
        tried: FailedPlacement,
    ): Boolean {
        val index = freeOf(kind)
        if (!index.remembers(tried.generation)) return true
        var may = reserved.values.any { kept -> kept.any { it.info.kind == kind && tried.smallest.fitsIn(it.free) } }
        if (!may) {
            index.freedSince(tried.generation) { executor ->
                may = tried.smallest.fitsIn(executor.free)
                !may
            }
        }
        if (!may) tried.generation = index.generation
        return may
    }

    fun addTotal(
        executor: Executor,
        sign: Int,
    ) = total(executor.info.kind).add(executor.info.capacity, sign)

    /** Puts [executor] where a search finds it, or takes it out when it must not get work from everyone. */
    fun reindex(executor: Executor) {
        val index = freeOf(executor.info.kind)
        if (executor.takesWork && executor.reservedFor == null) index.put(executor) else index.remove(executor)
    }

    fun capacityFreed(executor: Executor) {
        reindex(executor)
        freeOf(executor.info.kind).noteFreed(executor)
        touch(executor.info.kind)
    }

    /** Forgets what fitted where: executors came or went. */
    fun executorsChanged() {
        fits.forEach { it.clear() }
        copies.forEach { it.clear() }
        largest.clear()
    }

    /** Whether some executor could hold [need] when empty. */
    fun fitsSomewhere(
        kind: ExecutorKind,
        need: Resources,
    ): Boolean = fits[kind.ordinal].getOrPut(need) { state.executors.values.any { it.info.kind == kind && need.fitsIn(it.info.capacity) } }

    /** How many tasks that need [need] all executors together could hold when empty. */
    fun copies(
        kind: ExecutorKind,
        need: Resources,
    ): Long =
        copies[kind.ordinal].getOrPut(need) {
            state.executors.values
                .filter { it.info.kind == kind }
                .sumOf { Fit.copies(it.info.capacity, need).toLong() }
        }

    /** Every job that waits for executors of some kind, in a queue or delayed. */
    fun waiting(): List<Job> = lanes.filter { it.pendingTasks > 0 }.flatMap { it.urgent + it.normal } + delayed

    fun hasExecutors(kind: ExecutorKind): Boolean = state.executors.values.any { it.info.kind == kind }

    /** The largest amount of each resource that one executor of [kind] has. */
    fun largest(kind: ExecutorKind): Resources =
        largest.getOrPut(kind) {
            state.executors.values
                .filter { it.info.kind == kind }
                .fold(Resources.NONE) { all, one -> all.max(one.info.capacity) }
        }

    private companion object {
        const val INITIAL_SLOTS = 64
    }
}
