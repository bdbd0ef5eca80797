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

/** A worker or endpoint as the oracle sees it: what really runs there, whatever the cell believes. */
class FakeExecutor(
    val zone: ZoneId,
    var info: ExecutorInfo,
) {
    val known = LinkedHashMap<AttemptId, AttemptReport>()
    val specs = HashMap<AttemptId, JobSpec>()
    var present = false
    var sticky = false

    /** Ends that were recorded in this session: a doubled start of them must do nothing. */
    val recorded = HashSet<AttemptId>()
    val running get() = known.values.filter { it.state == AttemptState.RUNNING }.map { it.attempt }
}

/**
 * One registry and two cells with executors, driven step by step. Starts, stops and acknowledgements may be lost,
 * doubled or late. The oracle keeps sets and sums of what really runs and checks every rule after each event.
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
    private val late = ArrayList<() -> Unit>()
    val executors = ArrayList<FakeExecutor>()
    var now = 1_000L
    var events = 0
    private var changes = 0
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

    fun registryCommand(command: RegistryCommand): ChangeResult {
        registryLog += command
        val result = registry.reduce(command)
        oracle.registryChanged(command, result)
        return result
    }

    fun change(
        edit: Edit,
        basedOn: Long = Long.MAX_VALUE,
    ): ChangeResult = registryCommand(RegistryCommand.Change(ChangeId("c${changes++}"), "fuzz", basedOn, now, edit))

    fun configure(zone: ZoneId) {
        val view = ZoneView.of(registry.state, zone) ?: return
        cell(zone, CellCommand.Configure(view))
    }

    /** Applies one batch to a cell and lets its effects happen, or be lost or late. */
    fun cell(
        zone: ZoneId,
        vararg commands: CellCommand,
    ) {
        events++
        val batch = CellBatch(now, commands.toList())
        logs.getValue(zone) += batch
        val cell = cells.getValue(zone)
        val effects = cell.reduce(batch)
        effects.forEach { effect ->
            oracle.decided(zone, effect)
            carryOut(zone, effect)
        }
        oracle.check()
    }

    private fun carryOut(
        zone: ZoneId,
        effect: CellEffect,
    ) {
        when (effect) {
            is CellEffect.Start -> unreliable { start(effect) }
            is CellEffect.Stop -> unreliable { stop(effect) }
            is CellEffect.EndRecorded -> unreliable { recorded(effect) }
            is CellEffect.MoveOut ->
                if (!lossy ||
                    random.nextInt(3) > 0
                ) {
                    late += { cell(effect.zone, CellCommand.Adopt(effect.transfer, zone)) }
                }
            is CellEffect.Adopted -> late += { cell(effect.from, CellCommand.Moved(effect.job, zone, effect.up)) }
            else -> Unit
        }
    }

    private fun unreliable(action: () -> Unit) {
        val fate = if (lossy) random.nextInt(10) else 9
        when (fate) {
            0 -> Unit
            1 -> late += action
            2 -> {
                action()
                late += action
            }
            else -> action()
        }
    }

    private fun executor(id: ExecutorId) = executors.firstOrNull { it.info.id == id }

    private fun start(effect: CellEffect.Start) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt in executor.known || effect.attempt in executor.recorded) return
        if (effect.incarnation != executor.info.incarnation) return
        if (!executor.present || effect.session != executor.info.session) {
            executor.known[effect.attempt] = AttemptReport(effect.attempt, AttemptState.NOT_STARTED)
            return
        }
        executor.known[effect.attempt] = AttemptReport(effect.attempt, AttemptState.RUNNING)
        executor.specs[effect.attempt] = effect.spec
        oracle.reallyStarted(executor, effect)
    }

    private fun recorded(effect: CellEffect.EndRecorded) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt in executor.running) return
        if (executor.known.remove(effect.attempt) != null) executor.recorded.add(effect.attempt)
    }

    private fun stop(effect: CellEffect.Stop) {
        val executor = executor(effect.executor) ?: return
        if (effect.attempt !in executor.running ||
            effect.mode == StopMode.THROTTLE ||
            (executor.sticky && effect.mode != StopMode.KILL)
        ) {
            return
        }
        val state = if (effect.mode == StopMode.CHECKPOINT) AttemptState.CHECKPOINTED else AttemptState.KILLED
        finish(executor, effect.attempt, state)
    }

    /** [attempt] ends on [executor]; the report may get lost and is repeated with the next heartbeat. */
    fun finish(
        executor: FakeExecutor,
        attempt: AttemptId,
        state: AttemptState,
    ) {
        val report = AttemptReport(attempt, state, if (state == AttemptState.COMPLETED) "answer $attempt" else "")
        executor.known[attempt] = report
        if (executor.present) unreliable { cell(executor.zone, CellCommand.Ended(executor.info.id, report)) }
    }

    fun heartbeat(executor: FakeExecutor) {
        if (!executor.present) return
        executor.known.values.filter { it.state != AttemptState.RUNNING }.toList().forEach {
            cell(executor.zone, CellCommand.Ended(executor.info.id, it))
        }
    }

    fun join(executor: FakeExecutor) {
        executor.info = executor.info.copy(session = executor.info.session + 1)
        executor.present = true
        executor.recorded.clear()
        cell(executor.zone, CellCommand.Join(executor.info, executor.known.values.toList()))
    }

    /** The lease of [executor] runs out: it kills everything, and then the cell is told. */
    fun lose(executor: FakeExecutor) {
        if (!executor.present) return
        executor.running.forEach { executor.known[it] = AttemptReport(it, AttemptState.KILLED) }
        executor.present = false
        cell(executor.zone, CellCommand.ExecutorLost(executor.info.id, executor.info.incarnation))
    }

    /** The machine of [executor] restarts and forgets everything. */
    fun crash(executor: FakeExecutor) {
        executor.known.clear()
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
        cell(zone, CellCommand.Submit(RequestId("r$events"), id, QueueId(id.team.name), spec, fingerprint))
    }

    /** One thing that was late happens now. */
    fun deliverLate() {
        if (late.isNotEmpty()) late.removeAt(random.nextInt(late.size))()
    }

    /** The registry's leader looks at what the cells report and moves grants. */
    fun rebalance() {
        val demands = zones.associateWith { cells.getValue(it).loads() }
        zones.forEach { zone ->
            ZoneView.teamsWithReturnableGrants(registry.state, zone).forEach { team ->
                val held = cells.getValue(zone).held(team)
                registryCommand(RegistryCommand.ReturnGrant(team, zone, held, cells.getValue(zone).state.configVersion))
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
            if (moves.isNotEmpty()) registryCommand(RegistryCommand.Rebalance(moves))
        }
    }

    /** Replaces a cell by one that is built from its snapshot, as after a restart. */
    fun restart(zone: ZoneId) {
        val cell = cells.getValue(zone)
        val bytes = cell.snapshot()
        val again = Cell(policy)
        again.restore(bytes)
        check(Codec.digest(again.snapshot()) == Codec.digest(bytes)) { "a restored cell differs from its snapshot" }
        cells[zone] = again
    }

    /** Replays the whole log of every reducer and compares the bytes. */
    fun checkReplay() {
        zones.forEach { zone ->
            val again = Cell(policy)
            logs.getValue(zone).forEach { again.reduce(it) }
            check(again.snapshot().contentEquals(cells.getValue(zone).snapshot())) { "replay of $zone gives another state" }
        }
        val again = Registry()
        registryLog.forEach { again.reduce(it) }
        check(again.snapshot().contentEquals(registry.snapshot())) { "replay of the registry gives another state" }
    }

    /** Repairs everything and lets time pass until nothing waits that can run. */
    fun settle() {
        lossy = false
        val inService = zones.map { change(Edit.SetZone(it, inService = true)) }
        check(inService.all { it is ChangeResult.Committed })
        change(Edit.Table(teams.mapIndexed { i, team -> TeamRow(team, share = i + 1, ceiling = 8 + 2 * i, urgent = 3) }))
        zones.forEach { zone ->
            configure(zone)
            cell(zone, CellCommand.Hold(false))
        }
        executors.forEach { it.sticky = false }
        executors.forEach { if (isLeaving(it)) crash(it) else join(it) }
        // Services would hold what others wait for until somebody ends them.
        val services = specs.filterValues { it.kind == WorkKind.SERVICE }.keys.toList()
        repeat(SETTLE_ROUNDS) { number ->
            if (number % 20 == 0) zones.forEach { cell(it, CellCommand.Cancel(RequestId("end"), services)) }
            round()
        }
        oracle.checkEnd()
    }

    private fun isLeaving(executor: FakeExecutor): Boolean {
        val state = cells.getValue(executor.zone).state
        return state.executors[executor.info.id]?.status == ExecutorStatus.LEAVING
    }

    private fun round() {
        now += 500
        while (late.isNotEmpty()) deliverLate()
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
            cell(zone, CellCommand.Tick)
        }
    }

    private companion object {
        const val SETTLE_ROUNDS = 150
    }
}
