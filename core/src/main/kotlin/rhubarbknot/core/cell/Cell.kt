package rhubarbknot.core.cell

import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.CellRow
import rhubarbknot.core.registry.ZoneOffer
import rhubarbknot.core.registry.ZoneView

/**
 * Reducer of one zone's cell: its jobs, tasks, attempts, executors and the decisions about them.
 *
 * It is deterministic: the same batches in the same order give byte-identical states and the same effects. It uses no
 * clock, socket, thread or random source; each batch carries its time, and the random seed is part of the state.
 */
class Cell(
    private val policy: CellPolicy = CellPolicy(),
    state: CellState = CellState(),
) {
    var state: CellState = state
        private set
    private val effects = ArrayList<CellEffect>()
    private lateinit var components: CellComponents

    init {
        build()
    }

    private fun build() {
        components = CellComponents(state, policy, effects)
    }

    /** Applies [batch] and returns the effects that the leader must execute. */
    fun reduce(batch: CellBatch): List<CellEffect> {
        state.now = maxOf(state.now, batch.atMillis)
        batch.commands.forEach { apply(it) }
        components.scheduler.schedule()
        if (effects.isEmpty()) return emptyList()
        val result = ArrayList(effects)
        effects.clear()
        return result
    }

    private fun apply(command: CellCommand) {
        when (command) {
            is CellCommand.Submit -> components.admission.submit(command)
            is CellCommand.Ended -> components.attempts.ended(command.executor, command.report)
            is CellCommand.Cancel -> components.admission.cancel(command.request, command.jobs)
            is CellCommand.Join -> components.attempts.join(command)
            is CellCommand.Leave -> components.attempts.leave(command.executor)
            is CellCommand.ExecutorLost -> components.attempts.lose(command.executor, command.incarnation)
            is CellCommand.Usage -> components.attempts.usage(command.attempt, command.used)
            is CellCommand.Adopt -> components.admission.adopt(command)
            is CellCommand.Moved -> components.draining.moved(command)
            is CellCommand.Configure -> configure(command.view)
            is CellCommand.Hold -> hold(command.held)
            CellCommand.Tick -> components.ticks.tick()
        }
    }

    private fun hold(held: Boolean) {
        state.held = held
        components.index.markAllDirty()
    }

    private fun configure(view: ZoneView) {
        if (state.configured && view.version <= state.configVersion) return
        val goesOutOfService = !view.inService && (state.inService || !state.configured)
        state.configured = true
        state.configVersion = view.version
        state.inService = view.inService
        state.others = view.others
        val rows = view.rows.associateBy { it.row.team }
        rows.values.forEach { setRow(it) }
        val removed = if (view.whole) state.teams.values.filter { it.team !in rows } else view.removed.mapNotNull { state.teams[it] }
        removed.forEach { clearRow(it) }
        components.index.markAllDirty()
        if (goesOutOfService) components.draining.begin()
        components.limits.enforce()
        components.admission.refuseRemovedTeams()
    }

    private fun setRow(cellRow: CellRow) {
        val row = cellRow.row
        val team = state.teams.getOrPut(row.team) { TeamState(row.team) }
        components.index.backlogsOf(team)
        if (team.row == null) {
            team.retryTokens = row.retriesPerMinute.toDouble()
            team.retryAt = state.now
        }
        team.row = row
        team.limit = cellRow.limit
        team.overCeiling = cellRow.overCeiling
    }

    private fun clearRow(team: TeamState) {
        team.row = null
        team.limit = 0
        team.overCeiling = false
    }

    /** Serializes the state; equal states give equal bytes. */
    fun snapshot(): ByteArray {
        state.runTimes = components.estimates.encodeRunTimes()
        state.sizes = components.estimates.encodeSizes()
        return Codec.encode(CellState.serializer(), state).also { clearEncodedHistograms() }
    }

    fun restore(bytes: ByteArray) {
        state = Codec.decode(CellState.serializer(), bytes)
        build()
        clearEncodedHistograms()
    }

    private fun clearEncodedHistograms() {
        state.runTimes = emptyMap()
        state.sizes = emptyMap()
    }

    /** By queue of [team], the 90th percentile of used resources in percent of the declared ones. */
    fun usedPercent(team: TeamId): Map<QueueId, Long> = components.estimates.usedPercent(team)

    fun job(id: JobId): Job? = state.jobs[id]

    /** Status of job [id], or null if it is unknown or no longer retained. */
    fun status(id: JobId): JobStatus? {
        val job = state.jobs[id] ?: return null
        return JobStatus(
            id = id,
            phase = phase(job),
            tasks = job.spec.tasks,
            running = job.active.size,
            completed = job.completed,
            failed = job.failed,
            acceptedAt = job.acceptedAt,
            outcome = job.outcome,
            waits = components.lifecycle.allWaits(job),
            movedTo = job.handover?.zone,
        )
    }

    private fun phase(job: Job): JobPhase =
        when {
            job.outcome != null -> JobPhase.ENDED
            job.handover != null -> JobPhase.MOVED
            job.active.isNotEmpty() -> JobPhase.RUNNING
            else -> JobPhase.WAITING
        }

    /**
     * Per team, the tasks that count against its limit here and those it could run. Waiting work for a kind of executor
     * that the zone lacks is not counted as demand.
     */
    fun loads(): List<TeamLoad> {
        val availableKinds = ExecutorKind.entries.filter { state.inService && components.index.hasExecutors(it) }
        val waiting =
            components.index.backlogs
                .filter { it.kind in availableKinds }
                .groupBy { it.team.team }
                .mapValues { (_, backlogs) -> backlogs.sumOf { it.pendingTasks } }
        return state.teams.values
            .map { TeamLoad(it.team, it.held, it.running + (waiting[it.team] ?: 0)) }
            .filter { it.held > 0 || it.demand > 0 }
    }

    /** The team rows that apply in this zone. */
    fun rowsInForce(): Map<TeamId, CellRow> =
        state.teams.values
            .mapNotNull { team -> team.row?.let { team.team to CellRow(it, team.limit, team.overCeiling) } }
            .toMap()

    /** Number of tasks that count against [team]'s limit in this zone. */
    fun held(team: TeamId): Int = state.teams[team]?.held ?: 0

    fun offer(zone: ZoneId): ZoneOffer =
        ZoneOffer(zone, components.index.largest(ExecutorKind.WORKER), components.index.largest(ExecutorKind.ENDPOINT))

    /** Total resources of all executors of [kind]. */
    fun capacity(kind: ExecutorKind): PoolUsage = components.index.total(kind)

    /** Milliseconds until the cell needs the next [CellCommand.Tick]; null if nothing depends on time. */
    fun nextWakeMillis(): Long? = components.ticks.nextWakeMillis()

    /** Free capacity of [executor]; for tests and status pages. */
    fun free(executor: Executor): Resources = executor.free
}
