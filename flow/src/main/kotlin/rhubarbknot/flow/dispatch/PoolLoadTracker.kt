package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.core.overload.PoolLoad
import rhubarbknot.core.overload.TeamLoad
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job

/**
 * Keeps the load of each pool during one term of the leader. Each command changes only the steps that it names; capacities and sums are
 * computed once in a period.
 *
 * A new leader has to hear of the workers and to count the jobs of earlier leaders first. Until then the load is unknown: no longer than
 * the time up to [knownFrom] and one period for each [MAX_COUNTED_STEPS] inherited steps.
 *
 * @param knownFrom when every worker that can be used must have reported to this leader.
 */
internal class PoolLoadTracker(
    private val state: FlowState,
    private val durations: RunDurationEstimator,
    private val knownFrom: Long,
) {
    private data class BacklogKey(
        val pool: String,
        val team: String,
        val priority: Int,
    )

    /** What a job adds to its backlog, by step. */
    private class JobBacklog(
        var key: BacklogKey,
        val taskCoreMillis: LongArray,
        val latestStarts: LongArray,
        val latestUsefulStarts: LongArray,
    ) {
        val waiting = IntArray(taskCoreMillis.size)
    }

    private val backlogs = HashMap<BacklogKey, PoolBacklog>()
    private val startRates = HashMap<Pair<String, Int>, StartRate>()
    private val jobs = HashMap<String, JobBacklog>()
    private val uncounted = state.liveJobs.mapTo(ArrayDeque()) { it.id }
    private var rooms = emptyMap<String, PoolRoom>()
    private var loads = emptyMap<String, PoolLoad>()
    private var configuration: Configuration? = null
    private var entitledMilliCpus = 0L
    private var refreshDueAt = 0L
    private var refreshedAt = 0L
    private var isKnown = false

    /** The load of [pool] as of the last period; null while it is unknown. */
    fun poolLoad(pool: String): PoolLoad? = if (isKnown) loads[pool] else null

    /** What [team] has waiting in [pool], and the room that it can count on; null while that is unknown. */
    fun teamLoad(
        pool: String,
        team: String,
    ): TeamLoad? {
        val load = poolLoad(pool) ?: return null
        val settings = state.team(team) ?: return null
        val weights = activeTeams(pool).plus(team).sumOf { state.team(it)?.weight ?: 0.0 }
        val share = if (weights > 0) settings.weight / weights else 1.0
        val ceiling = settings.ceiling.milliCpus
        return TeamLoad(
            guaranteedMilliCpus = (load.drainMilliCpus * share).toLong(),
            ceilingMilliCpus = if (ceiling > 0) ceiling.toLong() else Long.MAX_VALUE,
            waitingCoreMillis =
                backlogsOf(pool).filterKeys { it.team == team }.entries.associate {
                    it.key.priority to
                        it.value.usefulCoreMillis
                },
        )
    }

    /** Whether the workers of [pool] and the ceiling of [team] can hold every one of [steps] once other runs have ended. */
    fun canHold(
        pool: String,
        team: String,
        steps: List<StepSpec>,
    ): Boolean {
        val room = rooms[pool] ?: return false
        val ceiling = state.team(team)?.ceiling ?: Resources.NONE
        return steps.all { room.canHold(it, ceiling) }
    }

    /** Handles [command], which was applied. */
    fun commandApplied(command: FlowCommand) {
        when (command) {
            is FlowCommand.Submit -> if (isKnown) count(command.request.id) else uncounted += command.request.id
            is FlowCommand.Assign -> command.runs.forEach { runAssigned(it.run.task) }
            is FlowCommand.Ended -> {
                command.ends.forEach { stepChanged(it.run.task.job, it.run.task.step) }
                command.crash?.runs?.forEach { stepChanged(it.task.job, it.task.step) }
            }
            is FlowCommand.Cancel -> removeIfOver(command.job)
            is FlowCommand.Configure -> jobs.forEach { (id, backlog) -> follow(id, backlog) }
            is FlowCommand.SetZone -> Unit
        }
    }

    /** Computes the loads once in a period; [presentWorkers] is called only then. */
    fun refresh(
        now: Long,
        presentWorkers: () -> List<WorkerRecord>,
    ) {
        if (now < refreshDueAt) return
        startRates.values.forEach { it.periodEnded(now - refreshedAt) }
        refreshedAt = now
        refreshDueAt = now + PERIOD_MILLIS
        rooms = presentWorkers().groupBy { it.report?.pool.orEmpty() }.mapValues { PoolRoom(it.value) }
        if (now >= knownFrom) countInherited()
        backlogs.values.forEach { it.expire(now) }
        backlogs.values.removeIf { it.isEmpty }
        if (configuration !== state.configuration) configured()
        val byPool = backlogs.entries.groupBy { it.key.pool }
        loads = (rooms.keys + byPool.keys).associateWith { pool -> sum(pool, rooms[pool] ?: PoolRoom.EMPTY, byPool[pool].orEmpty()) }
    }

    private fun sum(
        pool: String,
        room: PoolRoom,
        backlogs: List<Map.Entry<BacklogKey, PoolBacklog>>,
    ): PoolLoad {
        val byPriority = backlogs.groupBy({ it.key.priority }, { it.value })
        return PoolLoad(
            capacityMilliCpus = room.milliCpus,
            entitledMilliCpus = entitledMilliCpus,
            waitingCoreMillis = byPriority.mapValues { (_, sums) -> sums.sumOf { it.coreMillis } },
            uselessCoreMillis = byPriority.mapValues { (_, sums) -> sums.sumOf { it.coreMillis - it.usefulCoreMillis } },
            lateCoreMillis = byPriority.mapValues { (_, sums) -> sums.sumOf { it.coreMillis - it.onTimeCoreMillis } },
            lastingMilliCpus = room.lastingMilliCpus,
            startedMilliCpus = byPriority.keys.associateWith { startRates[pool to it]?.milliCpus ?: 0 },
        )
    }

    private fun configured() {
        configuration = state.configuration
        val ceilings =
            configuration
                ?.teams
                .orEmpty()
                .map { it.ceiling.milliCpus }
        entitledMilliCpus = if (ceilings.any { it == 0 }) Long.MAX_VALUE else ceilings.sumOf { it.toLong() }
    }

    private fun countInherited() {
        var steps = 0
        while (steps < MAX_COUNTED_STEPS) {
            val id = uncounted.removeFirstOrNull()
            if (id == null) {
                isKnown = true
                return
            }
            steps += 1 + (state.job(id)?.steps?.size ?: 0)
            count(id)
        }
    }

    private fun count(id: String) {
        val job = state.job(id) ?: return
        val key = keyOf(job)
        if (key == null || id in jobs || !canHold(key.pool, key.team, job.request.steps)) return
        val queue = job.queue ?: return
        val timing = JobTiming.of(job, queue, durations)
        val steps = job.request.steps
        jobs[id] =
            JobBacklog(
                key,
                LongArray(steps.size) { taskCoreMillis(job.request.queue, steps[it]) },
                LongArray(steps.size) { timing.latestStart(it) },
                LongArray(steps.size) { timing.latestUsefulStart(it) },
            )
        steps.indices.forEach { stepChanged(id, it) }
    }

    private fun keyOf(job: Job): BacklogKey? {
        val queue = job.queue
        return if (job.phase.isFinal || queue == null) null else BacklogKey(queue.pool, job.request.team, queue.priority)
    }

    private fun taskCoreMillis(
        queue: String,
        step: StepSpec,
    ): Long = if (step.lasting) 0 else coreMillis(step.demand.milliCpus, durations.expectedMillis(queue, step))

    private fun runAssigned(task: TaskId) {
        val backlog = jobs[task.job] ?: return
        val waiting = backlog.waiting[task.step]
        stepChanged(task.job, task.step)
        val started = waiting - backlog.waiting[task.step]
        if (started <= 0) return
        val rate = startRates.getOrPut(backlog.key.pool to backlog.key.priority) { StartRate() }
        rate.started(started * backlog.taskCoreMillis[task.step])
    }

    private fun stepChanged(
        id: String,
        step: Int,
    ) {
        val backlog = jobs[id] ?: return
        val job = state.job(id)
        if (job == null || job.phase.isFinal) return remove(id)
        setWaiting(backlog, step, job.unassignedCount(step))
    }

    private fun removeIfOver(id: String) {
        if (state.job(id)?.phase?.isFinal != false) remove(id)
    }

    private fun remove(id: String) {
        val backlog = jobs.remove(id) ?: return
        backlog.waiting.indices.forEach { setWaiting(backlog, it, 0) }
    }

    private fun setWaiting(
        backlog: JobBacklog,
        step: Int,
        count: Int,
    ) {
        val change = count - backlog.waiting[step]
        if (change == 0) return
        backlog.waiting[step] = count
        if (backlog.taskCoreMillis[step] == 0L) return
        backlogs
            .getOrPut(backlog.key) {
                PoolBacklog()
            }.add(change * backlog.taskCoreMillis[step], backlog.latestStarts[step], backlog.latestUsefulStarts[step])
    }

    /** Moves a job to the pool and priority that its queue has in a new configuration. */
    private fun follow(
        id: String,
        backlog: JobBacklog,
    ) {
        val key = state.job(id)?.let { keyOf(it) } ?: return
        if (key == backlog.key) return
        val waiting = backlog.waiting.copyOf()
        waiting.indices.forEach { setWaiting(backlog, it, 0) }
        backlog.key = key
        waiting.indices.forEach { setWaiting(backlog, it, waiting[it]) }
    }

    private fun backlogsOf(pool: String) = backlogs.filterKeys { it.pool == pool }

    private fun activeTeams(pool: String): Set<String> = backlogsOf(pool).keys.mapTo(HashSet()) { it.team }

    companion object {
        private const val PERIOD_MILLIS = 100L

        /** Steps of inherited jobs that are counted in one period, so that the turn stays short. */
        private const val MAX_COUNTED_STEPS = 20_000

        private const val MILLI_CPUS_PER_CORE = 1_000

        /** Ten thousand cores for a thousand seconds; sums over all jobs must not overflow. */
        private const val MAX_TASK_CORE_MILLIS = 10_000_000_000L

        /** Cores times milliseconds of a task that uses [milliCpus] for [millis]. */
        fun coreMillis(
            milliCpus: Int,
            millis: Long,
        ): Long = (milliCpus.toDouble() * millis / MILLI_CPUS_PER_CORE).toLong().coerceIn(0, MAX_TASK_CORE_MILLIS)
    }
}
