package rhubarbknot.core

import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.WorkKind
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.RegistryCommand

/** Sets and sums of what really happened, against which every rule of "what must always hold" is checked. */
class Oracle(
    private val world: SimulatedCluster,
) {
    private val reallyStarted = HashMap<JobId, Int>()
    private val startsOfTask = HashMap<Pair<JobId, Int>, Int>()
    private val toldNotRun = HashSet<JobId>()
    private val known = HashSet<JobId>()
    private val grantedBefore = HashMap<TeamId, Int>()

    fun registryChanged(
        command: RegistryCommand,
        result: ChangeResult,
    ) {
        world.teams.forEach { team ->
            val granted = world.registry.granted(team)
            val ceiling = world.registry.row(team)?.ceiling ?: 0
            val most = maxOf(ceiling, grantedBefore[team] ?: 0)
            check(granted <= most) { "team $team: $granted granted, ceiling $ceiling, after $command -> $result" }
            grantedBefore[team] = granted
        }
    }

    /** A decision of [zone]; starts count from here, since the message may arrive. */
    fun decided(
        zone: ZoneId,
        effect: CellEffect,
    ) {
        val cell = world.cells.getValue(zone)
        when (effect) {
            is CellEffect.Accepted -> known.add(effect.job)
            is CellEffect.Adopted -> known.add(effect.job)
            is CellEffect.Finished -> finished(effect)
            is CellEffect.Start -> {
                check(cell.state.inService) { "start of ${effect.attempt} in $zone, which is out of service" }
                check(!cell.state.held) { "start of ${effect.attempt} in $zone, which holds no lease" }
                check(effect.attempt.job !in toldNotRun) { "start of ${effect.attempt}, which was told not to have run" }
                val team = cell.state.teams.getValue(effect.attempt.job.team)
                check(!team.overCeiling) { "start of ${effect.attempt}, while the team is over its ceiling" }
                val granted =
                    world.registry.state.grants[team.team]
                        ?.get(zone)
                        ?.granted ?: 0
                check(team.running <= granted) { "team $team runs ${team.running} in $zone, granted $granted" }
            }
            else -> Unit
        }
    }

    private fun finished(effect: CellEffect.Finished) {
        if (effect.outcome !is Outcome.NotRun) return
        toldNotRun.add(effect.job)
        check((reallyStarted[effect.job] ?: 0) == 0) { "${effect.job} was told not to have run, but it started" }
    }

    /** [effect] reached [executor] and its task runs. */
    fun reallyStarted(
        executor: FakeExecutor,
        effect: CellEffect.Start,
    ) {
        val attempt = effect.attempt
        reallyStarted.merge(attempt.job, 1, Int::plus)
        val starts = startsOfTask.merge(attempt.job to attempt.task, 1, Int::plus) ?: 1
        check(starts == 1 || effect.spec.idempotent) { "$attempt is not idempotent and started $starts times" }
        check(attempt.job !in toldNotRun) { "$attempt started after it was told not to have run" }
        check(attempt.job in known) { "$attempt started and was never accepted" }
        checkExecutor(executor)
    }

    private fun checkExecutor(executor: FakeExecutor) {
        val used = executor.running.map { executor.specs.getValue(it).need }.fold(Resources.NONE, Resources::plus)
        check(used.fitsIn(executor.info.capacity)) {
            val believed =
                world.cells
                    .getValue(executor.zone)
                    .state.executors[executor.info.id]
                    ?.running
                    ?.map { it.attempt }
            "${executor.info.id} is overcommitted: runs ${executor.running}, believed $believed"
        }
    }

    fun check() {
        val running = world.executors.flatMap { executor -> executor.running.map { it.job to it.task } }
        check(
            running.size == running.toSet().size,
        ) { "a task runs in two places: ${running.groupBy { it }.filterValues { it.size > 1 }.keys}" }
        world.teams.forEach { team ->
            val really = running.count { it.first.team == team }
            val granted = world.registry.granted(team)
            check(really <= granted) { "team $team really runs $really, granted $granted" }
        }
        world.zones.forEach { checkAccounts(it) }
    }

    /** The books of a cell against sums over its jobs. */
    private fun checkAccounts(zone: ZoneId) {
        val state = world.cells.getValue(zone).state
        state.executors.values.forEach { executor ->
            val used = executor.running.map { it.job.spec.need }.fold(Resources.NONE, Resources::plus)
            check(executor.free + used == executor.info.capacity) { "${executor.info.id}: free ${executor.free}, used $used" }
        }
        state.teams.values.forEach { team ->
            val jobs = state.jobs.values.filter { it.id.team == team.team }
            check(team.running == jobs.sumOf { it.active.size }) { "team ${team.team}: ${team.running} running by its account" }
            check(team.urgentRunning == jobs.filter { it.spec.urgent }.sumOf { it.active.size }) { "team ${team.team}: urgent account" }
            val day = team.day.sum(state.now)
            check(day.ran == jobs.count { it.outcome is Outcome.Ran }.toLong()) { "team ${team.team}: ${day.ran} ran by its day" }
            check(
                day.notRun == jobs.count { it.outcome is Outcome.NotRun }.toLong(),
            ) { "team ${team.team}: ${day.notRun} not run by its day" }
            check(day.unknown == jobs.count { it.outcome is Outcome.Unknown }.toLong()) { "team ${team.team}: unknown by its day" }
            check(team.waiting == jobs.count { it.pending > 0 }) { "team ${team.team}: ${team.waiting} waiting by its account" }
        }
        state.jobs.values.forEach { job ->
            val waits =
                world.cells
                    .getValue(zone)
                    .status(job.id)
                    ?.waits
                    .orEmpty()
            waits.zipWithNext().forEach { (a, b) -> check(a.until <= b.from) { "${job.id}: waits overlap: $waits" } }
            check(waits.all { it.millis >= 0 }) { "${job.id}: a wait of negative length: $waits" }
        }
    }

    /** Nothing that was accepted is lost: everything that can run has come to its end. */
    fun checkEnd() {
        val open =
            known.filter { id ->
                val jobs = world.cells.values.mapNotNull { it.job(id) }
                val running = jobs.any { it.spec.kind == WorkKind.SERVICE && it.active.isNotEmpty() }
                jobs.none { it.outcome != null } && !running
            }
        check(open.isEmpty()) {
            val details = open.take(3).map { id -> world.cells.map { (zone, cell) -> zone to cell.status(id) } }
            "accepted and never seen through: $details"
        }
    }
}
