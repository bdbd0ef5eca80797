package rhubarbknot.core

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.CellPolicy
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.cell.ExecutorStatus
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.GrantPlanner
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.ZoneDemand
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.core.table.TeamRow
import java.util.SplittableRandom

/** A simulated worker or endpoint. It holds what actually runs there, independently of what the cell assumes. */
class FakeExecutor(
    val zone: ZoneId,
    var info: ExecutorInfo,
) {
    /** The latest report for each attempt that reached this executor, until the end of the attempt is acknowledged. */
    val reports = LinkedHashMap<AttemptId, AttemptReport>()
    val specs = HashMap<AttemptId, JobSpec>()
    var connected = false

    /** Whether tasks react to [StopMode.KILL] only and ignore every other request to stop. */
    var ignoresSoftStop = false

    /** Attempts whose end was acknowledged in this session; a duplicate start of one of them must have no effect. */
    val acknowledgedEnds = HashSet<AttemptId>()
    val running get() = reports.values.filter { it.state == AttemptState.RUNNING }.map { it.attempt }
}

/**
 * Simulates a registry and two cells with their executors, driven step by step. Starts, stops and acknowledgements may
 * be lost, duplicated or delayed. An [Oracle] tracks what actually runs and checks the invariants after each event.
 */
class SimulatedCluster(
    seed: Long,
    private val policy: CellPolicy = CellPolicy(reserveAfterMillis = 500, retainIdempotentMillis = 3_600_000, retainMillis = 3_600_000),
) {
    private val random = SplittableRandom(seed)
    val zones = listOf(ZoneId("kalaa"), ZoneId("msaken"))
    val teams = listOf(TeamId("crew"), TeamId("clerks"), TeamId("mill"))
    val registry = Registry()
    private val registryLog = ArrayList<RegistryCommand>()
    val cells = zones.associateWithTo(LinkedHashMap()) { Cell(policy) }
    private val logs = zones.associateWith { ArrayList<CellBatch>() }
    private val delayed = ArrayList<() -> Unit>()
    val executors = ArrayList<FakeExecutor>()
    var now = 1_000L
    var events = 0
    private var changeCount = 0
    private val oracle = Oracle(this)
    val specs = HashMap<JobId, JobSpec>()
    val accepted = HashSet<JobId>()
    private val moves = LinkedHashMap<JobId, ZoneId>()
    var lossy = true

    init {
        zones.forEach { change(Edit.AddZone(it)) }
        change(Edit.Table(teams.mapIndexed { i, team -> TeamRow(team, share = i + 1, ceiling = 6 + 2 * i, urgent = 3) }))
        zones.forEach { zone ->
            configure(zone)
            repeat(2) { executors += worker(zone, it) }
            executors += endpoint(zone)
        }
        executors.forEach { join(it) }
    }

    private fun worker(
        zone: ZoneId,
        number: Int,
    ): FakeExecutor {
        val capacity = Resources(milliCpus = 8_000, memoryMb = 8_000, accelerators = number)
        return FakeExecutor(zone, ExecutorInfo(ExecutorId("worker-$zone-$number"), "1", ExecutorKind.WORKER, capacity, "rack$number"))
    }

    private fun endpoint(zone: ZoneId): FakeExecutor =
        FakeExecutor(zone, ExecutorInfo(ExecutorId("board-$zone"), "1", ExecutorKind.ENDPOINT, Resources(slots = 3)))

    fun applyToRegistry(command: RegistryCommand): ChangeResult {
        registryLog += command
        val result = registry.reduce(command)
        oracle.checkRegistryGrants(command, result)
        return result
    }

    fun change(
        edit: Edit,
        basedOn: Long = Long.MAX_VALUE,
    ): ChangeResult = applyToRegistry(RegistryCommand.Change(ChangeId("c${changeCount++}"), "fuzz", basedOn, now, edit))

    fun configure(zone: ZoneId) {
        val view = ZoneView.of(registry.state, zone) ?: return
        applyToCell(zone, CellCommand.Configure(view))
    }

    /** Applies a batch of commands to a cell and executes its effects, which may be lost, duplicated or delayed. */
    fun applyToCell(
        zone: ZoneId,
        vararg commands: CellCommand,
    ) {
        events++
        val batch = CellBatch(now, commands.toList())
        logs.getValue(zone) += batch
        val cell = cells.getValue(zone)
        val effects = cell.reduce(batch)
        effects.forEach { effect ->
            oracle.checkEffect(zone, effect)
            execute(zone, effect)
        }
        oracle.checkInvariants()
    }

    private fun execute(
        zone: ZoneId,
        effect: CellEffect,
    ) {
        when (effect) {
            is CellEffect.Start -> deliverUnreliably { start(effect) }
            is CellEffect.Stop -> deliverUnreliably { stop(effect) }
            is CellEffect.EndRecorded -> deliverUnreliably { acknowledgeEnd(effect) }
            is CellEffect.MoveOut ->
                if (!lossy ||
                    random.nextInt(3) > 0
                ) {
                    delayed += { applyToCell(effect.zone, CellCommand.Adopt(effect.transfer, zone)) }
                }
            is CellEffect.Adopted -> delayed += { applyToCell(effect.from, CellCommand.Moved(effect.job, zone, effect.up)) }
            else -> Unit
        }
    }

    private fun deliverUnreliably(action: () -> Unit) {
        val fate = if (lossy) random.nextInt(10) else 9
        when (fate) {
            0 -> Unit
            1 -> delayed += action
            2 -> {
                action()
                delayed += action
            }
            else -> action()
        }
    }

    private fun executor(id: ExecutorId) = executors.firstOrNull { it.info.id == id }

    private fun start(effect: CellEffect.Start) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt in executor.reports || effect.attempt in executor.acknowledgedEnds) return
        if (effect.incarnation != executor.info.incarnation) return
        if (!executor.connected || effect.session != executor.info.session) {
            executor.reports[effect.attempt] = AttemptReport(effect.attempt, AttemptState.NOT_STARTED)
            return
        }
        executor.reports[effect.attempt] = AttemptReport(effect.attempt, AttemptState.RUNNING)
        executor.specs[effect.attempt] = effect.spec
        oracle.recordStart(executor, effect)
    }

    private fun acknowledgeEnd(effect: CellEffect.EndRecorded) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt in executor.running) return
        if (executor.reports.remove(effect.attempt) != null) executor.acknowledgedEnds.add(effect.attempt)
    }

    private fun stop(effect: CellEffect.Stop) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt !in executor.running ||
            effect.mode == StopMode.THROTTLE ||
            (executor.ignoresSoftStop && effect.mode != StopMode.KILL)
        ) {
            return
        }
        val state = if (effect.mode == StopMode.CHECKPOINT) AttemptState.CHECKPOINTED else AttemptState.KILLED
        finish(executor, effect.attempt, state)
    }

    /** Ends [attempt] on [executor]. The report may be lost; it is repeated with the next heartbeat. */
    fun finish(
        executor: FakeExecutor,
        attempt: AttemptId,
        state: AttemptState,
    ) {
        val report = AttemptReport(attempt, state, if (state == AttemptState.COMPLETED) "answer $attempt" else "")
        executor.reports[attempt] = report
        if (executor.connected) deliverUnreliably { applyToCell(executor.zone, CellCommand.Ended(executor.info.id, report)) }
    }

    fun heartbeat(executor: FakeExecutor) {
        if (!executor.connected) return
        executor.reports.values.filter { it.state != AttemptState.RUNNING }.toList().forEach {
            applyToCell(executor.zone, CellCommand.Ended(executor.info.id, it))
        }
    }

    fun join(executor: FakeExecutor) {
        executor.info = executor.info.copy(session = executor.info.session + 1)
        executor.connected = true
        executor.acknowledgedEnds.clear()
        applyToCell(executor.zone, CellCommand.Join(executor.info, executor.reports.values.toList()))
    }

    /** Expires the lease of [executor]: it kills its tasks, and then the cell is notified. */
    fun expireLease(executor: FakeExecutor) {
        if (!executor.connected) return
        executor.running.forEach { executor.reports[it] = AttemptReport(it, AttemptState.KILLED) }
        executor.connected = false
        applyToCell(executor.zone, CellCommand.ExecutorLost(executor.info.id, executor.info.incarnation))
    }

    /** Restarts [executor] as a new incarnation without any state. */
    fun crash(executor: FakeExecutor) {
        executor.reports.clear()
        executor.info = executor.info.copy(incarnation = (executor.info.incarnation.toInt() + 1).toString(), session = 0)
        join(executor)
    }

    fun submit(
        zone: ZoneId,
        id: JobId,
        spec: JobSpec,
    ) {
        specs.putIfAbsent(id, spec)
        val fingerprint = Codec.digest(Codec.encode(JobSpec.serializer(), spec)).hashCode().toLong()
        applyToCell(zone, CellCommand.Submit(RequestId("r$events"), id, QueueId(id.team.name), spec, fingerprint))
    }

    /** Executes one of the delayed actions, chosen at random. */
    fun deliverDelayed() {
        if (delayed.isNotEmpty()) delayed.removeAt(random.nextInt(delayed.size))()
    }

    /** Rebalances grants by the load that the cells report, as the leader of the registry does. */
    fun rebalance() {
        val demands = zones.associateWith { cells.getValue(it).loads() }
        zones.forEach { zone ->
            ZoneView.teamsWithReturnableGrants(registry.state, zone).forEach { team ->
                val held = cells.getValue(zone).held(team)
                applyToRegistry(RegistryCommand.ReturnGrant(team, zone, held, cells.getValue(zone).state.configVersion))
            }
        }
        teams.forEach { team ->
            val loads =
                zones.map { zone ->
                    demands.getValue(zone).firstOrNull { it.team == team }.let {
                        ZoneDemand(
                            zone,
                            it?.held ?: 0,
                            it?.demand ?: 0,
                        )
                    }
                }
            val ceiling = registry.row(team)?.ceiling ?: return@forEach
            val moves = GrantPlanner.rebalance(team, ceiling, registry.state.grants[team].orEmpty(), loads)
            if (moves.isNotEmpty()) applyToRegistry(RegistryCommand.Rebalance(moves))
        }
    }

    /** Replaces a cell by one restored from its snapshot, as after a restart. */
    fun restart(zone: ZoneId) {
        val cell = cells.getValue(zone)
        val bytes = cell.snapshot()
        val restored = Cell(policy)
        restored.restore(bytes)
        check(Codec.digest(restored.snapshot()) == Codec.digest(bytes)) { "the restored cell differs from its snapshot" }
        cells[zone] = restored
    }

    /** Replays the complete log of each cell and of the registry, and checks that the snapshots are byte-identical. */
    fun checkReplay() {
        zones.forEach { zone ->
            val replayed = Cell(policy)
            logs.getValue(zone).forEach { replayed.reduce(it) }
            check(
                replayed.snapshot().contentEquals(cells.getValue(zone).snapshot()),
            ) { "replaying the log of $zone gives a different state" }
        }
        val replayed = Registry()
        registryLog.forEach { replayed.reduce(it) }
        check(replayed.snapshot().contentEquals(registry.snapshot())) { "replaying the log of the registry gives a different state" }
    }

    /** Clears all faults and advances time until every job that can run has run. */
    fun settle() {
        lossy = false
        val inService = zones.map { change(Edit.SetZone(it, inService = true)) }
        check(inService.all { it is ChangeResult.Committed })
        change(Edit.Table(teams.mapIndexed { i, team -> TeamRow(team, share = i + 1, ceiling = 8 + 2 * i, urgent = 3) }))
        zones.forEach { zone ->
            configure(zone)
            applyToCell(zone, CellCommand.Hold(false))
        }
        executors.forEach { it.ignoresSoftStop = false }
        executors.forEach { if (isLeaving(it)) crash(it) else join(it) }
        // Services hold capacity that other jobs wait for until they are cancelled.
        val services = specs.filterValues { it.kind == WorkKind.SERVICE }.keys.toList()
        repeat(SETTLE_ROUNDS) { round ->
            if (round % 20 == 0) zones.forEach { applyToCell(it, CellCommand.Cancel(RequestId("end"), services)) }
            settleRound()
        }
        oracle.checkNoJobLost()
    }

    private fun isLeaving(executor: FakeExecutor): Boolean {
        val state = cells.getValue(executor.zone).state
        return state.executors[executor.info.id]?.status == ExecutorStatus.LEAVING
    }

    private fun settleRound() {
        now += 500
        while (delayed.isNotEmpty()) deliverDelayed()
        executors.forEach { executor ->
            executor.running.forEach {
                if (executor.specs.getValue(it).kind !=
                    WorkKind.SERVICE
                ) {
                    finish(executor, it, AttemptState.COMPLETED)
                }
            }
            heartbeat(executor)
        }
        rebalance()
        zones.forEach { zone ->
            configure(zone)
            applyToCell(zone, CellCommand.Tick)
        }
    }

    private companion object {
        const val SETTLE_ROUNDS = 150
    }
}
