package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import java.util.TreeMap
import java.util.TreeSet

/** Lookup structures derived from the state of a cell. Equal states give equal indexes. */
internal class CellIndex(
    val state: CellState,
    val policy: CellPolicy,
) {
    private val backlogsByTeam = LinkedHashMap<TeamId, Array<TeamBacklog>>()
    private val freeIndexes = ExecutorKind.entries.map { FreeCapacityIndex(it) }
    private val totals = ExecutorKind.entries.map { PoolUsage() }
    private var slots = arrayOfNulls<Executor>(INITIAL_SLOTS)
    private val freeSlots = java.util.BitSet().also { it.set(0, INITIAL_SLOTS) }

    val backlogs = ArrayList<TeamBacklog>()
    val delayed = TreeSet<Job>(compareBy({ it.notBefore }, { it.seq }))
    val deadlines = TreeSet<Job>(compareBy({ it.acceptedAt + it.spec.deadlineMillis }, { it.seq }))
    val stops = TreeSet<Task>(compareBy({ it.stopAt }, { it.job.seq }, { it.index }, { it.number }))
    val leaving = TreeSet<Job>(compareBy { it.seq })
    val movedJobs = finishedSet()
    val finished = listOf(finishedSet(), finishedSet())
    val reserved = TreeMap<Job, TreeSet<Executor>>(compareBy { it.seq })
    val lost = TreeSet<Job>(compareBy { it.seq })
    val quarantined = executorSet()
    private val taskCapacityCache = ExecutorKind.entries.map { HashMap<Resources, Long>() }
    private val largestCache = HashMap<ExecutorKind, Resources>()
    private val fitsCache = ExecutorKind.entries.map { HashMap<Resources, Boolean>() }

    init {
        state.teams.values.forEach { backlogsOf(it) }
        state.executors.values
            .sortedBy { it.slot }
            .forEach { assignSlot(it) }
        state.jobs.values.forEach { indexJob(it) }
        state.executors.values.forEach { executor ->
            addTotal(executor, 1)
            reindex(executor)
            if (executor.status == ExecutorStatus.QUARANTINED) quarantined.add(executor)
        }
        restoreReservations()
    }

    private fun executorSet() = TreeSet<Executor>(compareBy { it.slot })

    private fun finishedSet() = TreeSet<Job>(compareBy({ it.finishedAt }, { it.seq }))

    private fun indexJob(job: Job) {
        job.backlog = backlogsOf(state.teams.getValue(job.id.team))[job.kind.ordinal]
        job.active.forEach { task ->
            task.job = job
            val executor = checkNotNull(slots[task.slot])
            executor.addTask(task)
            executor.free -= job.spec.need
            if (task.stop != null) stops.add(task)
        }
        if (job.outcome != null) finished[retentionClass(job)].add(job)
        if (job.handover?.let { it.stage != HandoverStage.DONE } == true) leaving.add(job)
        if (job.handover?.stage == HandoverStage.DONE) movedJobs.add(job)
        if (!job.lost.isNullOrEmpty()) lost.add(job)
        val pending = job.pending
        job.countedPending = pending
        job.backlog.pendingTasks += pending
        if (pending == 0) return
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

    fun retentionClass(job: Job): Int = if (job.spec.idempotent) 0 else 1

    fun enqueue(job: Job) {
        putInQueue(job)
        markDirty(job.kind)
    }

    private fun putInQueue(job: Job) {
        job.backlog.queueOf(job).add(job)
        job.backlog.clearFailedPlacement(job)
        job.queued = true
    }

    /**
     * Includes executors of [kind] in the next scheduling pass. The mark is part of the state, so that a restored replica
     * schedules in the same pass as the others.
     */
    fun markDirty(kind: ExecutorKind) {
        state.dirtyKinds = state.dirtyKinds or (1 shl kind.ordinal)
    }

    fun markAllDirty() = ExecutorKind.entries.forEach { markDirty(it) }

    /** Returns the marked kinds and clears the marks. */
    fun takeDirty(): List<ExecutorKind> {
        val kinds = ExecutorKind.entries.filter { state.dirtyKinds and (1 shl it.ordinal) != 0 }
        state.dirtyKinds = 0
        return kinds
    }

    fun dequeue(job: Job) {
        job.backlog.queueOf(job).remove(job)
        job.backlog.clearFailedPlacement(job)
        job.queued = false
    }

    fun backlogsOf(team: TeamState): Array<TeamBacklog> =
        backlogsByTeam.getOrPut(team.team) {
            Array(ExecutorKind.entries.size) { i ->
                TeamBacklog(
                    team,
                    ExecutorKind.entries[i],
                    policy.order,
                ) { slot -> slots[slot]?.info?.rack.orEmpty() }.also { backlogs.add(it) }
            }
        }

    fun executor(slot: Int): Executor = checkNotNull(slots[slot])

    fun nextSlot(): Int = freeSlots.nextSetBit(0)

    fun assignSlot(executor: Executor) {
        val slot = executor.slot
        while (slot >= slots.size - 1) {
            freeSlots.set(slots.size, slots.size * 2)
            slots = slots.copyOf(slots.size * 2)
        }
        slots[slot] = executor
        freeSlots.clear(slot)
    }

    fun releaseSlot(executor: Executor) {
        freeIndex(executor.info.kind).remove(executor)
        slots[executor.slot] = null
        freeSlots.set(executor.slot)
    }

    fun freeIndex(kind: ExecutorKind): FreeCapacityIndex = freeIndexes[kind.ordinal]

    fun total(kind: ExecutorKind): PoolUsage = totals[kind.ordinal]

    /** Whether a job covered by [failed] may fit now, on an executor that is reserved or was freed since. */
    fun mayFit(
        kind: ExecutorKind,
        failed: FailedPlacement,
    ): Boolean {
        val index = freeIndex(kind)
        if (!index.recordsFreedSince(failed.generation)) return true
        var possible = reserved.values.any { executors -> executors.any { it.info.kind == kind && failed.smallest.fitsIn(it.free) } }
        if (!possible) {
            index.freedSince(failed.generation) { executor ->
                possible = failed.smallest.fitsIn(executor.free)
                !possible
            }
        }
        if (!possible) failed.generation = index.generation
        return possible
    }

    fun addTotal(
        executor: Executor,
        sign: Int,
    ) = total(executor.info.kind).add(executor.info.capacity, sign)

    /** Updates the free capacity index, which holds [executor] only if it takes work and is not reserved. */
    fun reindex(executor: Executor) {
        val index = freeIndex(executor.info.kind)
        if (executor.takesWork && executor.reservedFor == null) index.put(executor) else index.remove(executor)
    }

    fun capacityFreed(executor: Executor) {
        reindex(executor)
        freeIndex(executor.info.kind).noteFreed(executor)
        markDirty(executor.info.kind)
    }

    /** Clears the caches that depend on the set of executors. */
    fun executorsChanged() {
        fitsCache.forEach { it.clear() }
        taskCapacityCache.forEach { it.clear() }
        largestCache.clear()
    }

    /** Whether any executor could hold [need] when empty. */
    fun fitsSomewhere(
        kind: ExecutorKind,
        need: Resources,
    ): Boolean =
        fitsCache[kind.ordinal].getOrPut(need) { state.executors.values.any { it.info.kind == kind && need.fitsIn(it.info.capacity) } }

    /** Number of tasks of size [need] that all executors together could hold when empty. */
    fun taskCapacity(
        kind: ExecutorKind,
        need: Resources,
    ): Long =
        taskCapacityCache[kind.ordinal].getOrPut(need) {
            state.executors.values
                .filter { it.info.kind == kind }
                .sumOf { Fit.taskCapacity(it.info.capacity, need).toLong() }
        }

    /** All jobs that wait, in a queue or delayed. */
    fun waiting(): List<Job> = backlogs.filter { it.pendingTasks > 0 }.flatMap { it.urgent + it.normal } + delayed

    fun hasExecutors(kind: ExecutorKind): Boolean = state.executors.values.any { it.info.kind == kind }

    /** Largest amount of each resource among the executors of [kind]. */
    fun largest(kind: ExecutorKind): Resources =
        largestCache.getOrPut(kind) {
            state.executors.values
                .filter { it.info.kind == kind }
                .fold(Resources.NONE) { all, one -> all.max(one.info.capacity) }
        }

    private companion object {
        const val INITIAL_SLOTS = 64
    }
}
