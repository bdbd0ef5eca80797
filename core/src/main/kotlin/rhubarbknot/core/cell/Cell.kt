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
 * Equal batches in equal order give equal state, to the byte, and equal effects. It knows no clock, socket, thread or
 * random source; time comes with each batch and the seed is part of the state.
 */
class Cell(
    private val policy: CellPolicy = CellPolicy(),
    state: CellState = CellState(),
) {
    var state: CellState = state
        private set
    private val effects = ArrayList<CellEffect>()
    private lateinit var parts: CellComponents

    init {
        build()
    }

    private fun build() {
        parts = CellComponents(state, policy, effects)
    }

    /** Applies [batch] and returns what the leader must do. */
    fun reduce(batch: CellBatch): List<CellEffect> {
        state.now = maxOf(state.now, batch.atMillis)
        batch.commands.forEach { apply(it) }
        parts.scheduler.pass()
        if (effects.isEmpty()) return emptyList()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    private fun apply(command: CellCommand) {
        when (command) {
            is CellCommand.Submit -> parts.admission.submit(command)
            is CellCommand.Ended -> parts.attempts.ended(command.executor, command.report)
            is CellCommand.Cancel -> parts.admission.cancel(command.request, command.jobs)
            is CellCommand.Join -> parts.attempts.join(command)
            is CellCommand.Leave -> parts.attempts.leave(command.executor)
            is CellCommand.ExecutorLost -> parts.attempts.lose(command.executor, command.incarnation)
            is CellCommand.Usage -> parts.attempts.usage(command.attempt, command.used)
            is CellCommand.Adopt -> parts.admission.adopt(command)
            is CellCommand.Moved -> parts.draining.moved(command)
            is CellCommand.Configure -> configure(command.view)
            is CellCommand.Hold -> hold(command.held)
            CellCommand.Tick -> parts.clock.tick()
        }
    }

    private fun hold(held: Boolean) {
        state.held = held
        parts.index.touchAll()
    }

    private fun configure(view: ZoneView) {
        if (state.configured && view.version <= state.configVersion) return
        val leaves = !view.inService && (state.inService || !state.configured)
        state.configured = true
        state.configVersion = view.version
        state.inService = view.inService
        state.others = view.others
        val rows = view.rows.associateBy { it.row.team }
        rows.values.forEach { setRow(it) }
        val gone = if (view.whole) state.teams.values.filter { it.team !in rows } else view.removed.mapNotNull { state.teams[it] }
        gone.forEach { clearRow(it) }
        parts.index.touchAll()
        if (leaves) parts.draining.begin()
        parts.limits.enforce()
        parts.admission.refuseRemovedTeams()
    }

    private fun setRow(cellRow: CellRow) {
        val row = cellRow.row
        val team = state.teams.getOrPut(row.team) { TeamState(row.team) }
        parts.index.lanesOf(team)
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

    /** The state as bytes; equal states give equal bytes. */
    fun snapshot(): ByteArray {
        state.runTimes = parts.estimates.encodeRunTimes()
        state.sizes = parts.estimates.encodeSizes()
        return Codec.encode(CellState.serializer(), state).also { forgetEncoded() }
    }

    fun restore(bytes: ByteArray) {
        state = Codec.decode(CellState.serializer(), bytes)
        build()
        forgetEncoded()
    }

    private fun forgetEncoded() {
        state.runTimes = emptyMap()
        state.sizes = emptyMap()
    }

    /** By queue of [team], how many percent of what they declare nine of ten tasks use at most. */
    fun usedPercent(team: TeamId): Map<QueueId, Long> = parts.estimates.usedPercent(team)

    fun job(id: JobId): Job? = state.jobs[id]

    /** What is known of [id], or null when the cell never heard of it or has forgotten it. */
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
            waits = parts.book.allWaits(job),
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

    /** Per team, what counts against its grant here and what it would use: work that nothing here could take asks for nothing. */
    fun loads(): List<TeamLoad> {
        val able = ExecutorKind.entries.filter { state.inService && parts.index.hasExecutors(it) }
        val waiting =
            parts.index.lanes
                .filter { it.kind in able }
                .groupBy { it.team.team }
                .mapValues { (_, lanes) -> lanes.sumOf { it.pendingTasks } }
        return state.teams.values
            .map { TeamLoad(it.team, it.held, it.running + (waiting[it.team] ?: 0)) }
            .filter { it.held > 0 || it.demand > 0 }
    }

    /** The rows that are in force here. */
    fun rowsInForce(): Map<TeamId, CellRow> =
        state.teams.values
            .mapNotNull { team -> team.row?.let { team.team to CellRow(it, team.limit, team.overCeiling) } }
            .toMap()

    /** What counts against [team]'s grant in this zone. */
    fun held(team: TeamId): Int = state.teams[team]?.held ?: 0

    fun offer(zone: ZoneId): ZoneOffer =
        ZoneOffer(zone, parts.index.largest(ExecutorKind.WORKER), parts.index.largest(ExecutorKind.ENDPOINT))

    /** What all executors of [kind] have together, and what is used of it. */
    fun capacity(kind: ExecutorKind): PoolUsage = parts.index.total(kind)

    /** After how many milliseconds the cell wants the next [CellCommand.Tick]; null when nothing waits for time. */
    fun nextWakeMillis(): Long? = parts.clock.nextWakeMillis()

    /** Free capacity of an executor by name; for tests and pages. */
    fun free(executor: Executor): Resources = executor.free
}
