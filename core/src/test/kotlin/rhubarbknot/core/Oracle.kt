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

/**
 * Checks the invariants of a [SimulatedCluster]. It records what actually happened, independently of the state of the
 * cells, and compares their decisions and counters with it.
 */
class Oracle(
    private val cluster: SimulatedCluster,
) {
    private val startsByJob = HashMap<JobId, Int>()
    private val startsByTask = HashMap<Pair<JobId, Int>, Int>()
    private val reportedNotRun = HashSet<JobId>()
    private val accepted = HashSet<JobId>()
    private val previouslyGranted = HashMap<TeamId, Int>()

    fun checkRegistryGrants(
        command: RegistryCommand,
        result: ChangeResult,
    ) {
        cluster.teams.forEach { team ->
            val granted = cluster.registry.granted(team)
            val ceiling = cluster.registry.row(team)?.ceiling ?: 0
            val limit = maxOf(ceiling, previouslyGranted[team] ?: 0)
            check(granted <= limit) { "team $team: $granted granted, ceiling $ceiling, after $command -> $result" }
            previouslyGranted[team] = granted
        }
    }

    /** Checks a decision of [zone]. A start is checked when it is decided, since its message may still arrive. */
    fun checkEffect(
        zone: ZoneId,
        effect: CellEffect,
    ) {
        val cell = cluster.cells.getValue(zone)
        when (effect) {
            is CellEffect.Accepted -> accepted.add(effect.job)
            is CellEffect.Adopted -> accepted.add(effect.job)
            is CellEffect.Finished -> checkFinished(effect)
            is CellEffect.Start -> {
                check(cell.state.inService) { "start of ${effect.attempt} in $zone, which is out of service" }
                check(!cell.state.held) { "start of ${effect.attempt} in $zone, which holds no lease" }
                check(effect.attempt.job !in reportedNotRun) { "start of ${effect.attempt}, whose job was reported as not run" }
                val team = cell.state.teams.getValue(effect.attempt.job.team)
                check(!team.overCeiling) { "start of ${effect.attempt}, while the team is over its ceiling" }
                val granted =
                    cluster.registry.state.grants[team.team]
                        ?.get(zone)
                        ?.granted ?: 0
                check(team.running <= granted) { "team $team runs ${team.running} in $zone, granted $granted" }
            }
            else -> Unit
        }
    }

    private fun checkFinished(effect: CellEffect.Finished) {
        if (effect.outcome !is Outcome.NotRun) return
        reportedNotRun.add(effect.job)
        check((startsByJob[effect.job] ?: 0) == 0) { "${effect.job} was reported as not run, but it started" }
    }

    /** Records that [effect] reached [executor] and that the task is running. */
    fun recordStart(
        executor: FakeExecutor,
        effect: CellEffect.Start,
    ) {
        val attempt = effect.attempt
        startsByJob.merge(attempt.job, 1, Int::plus)
        val starts = startsByTask.merge(attempt.job to attempt.task, 1, Int::plus) ?: 1
        check(starts == 1 || effect.spec.idempotent) { "$attempt is not idempotent and started $starts times" }
        check(attempt.job !in reportedNotRun) { "$attempt started after its job was reported as not run" }
        check(attempt.job in accepted) { "$attempt started, but its job was never accepted" }
        checkExecutorCapacity(executor)
    }

    private fun checkExecutorCapacity(executor: FakeExecutor) {
        val used = executor.running.map { executor.specs.getValue(it).need }.fold(Resources.NONE, Resources::plus)
        check(used.fitsIn(executor.info.capacity)) {
            val assumed =
                cluster.cells
                    .getValue(executor.zone)
                    .state.executors[executor.info.id]
                    ?.running
                    ?.map { it.attempt }
            "${executor.info.id} is overcommitted: it runs ${executor.running}, its cell assumes $assumed"
        }
    }

    fun checkInvariants() {
        val running = cluster.executors.flatMap { executor -> executor.running.map { it.job to it.task } }
        check(
            running.size == running.toSet().size,
        ) { "a task runs more than once at a time: ${running.groupBy { it }.filterValues { it.size > 1 }.keys}" }
        cluster.teams.forEach { team ->
            val actual = running.count { it.first.team == team }
            val granted = cluster.registry.granted(team)
            check(actual <= granted) { "team $team actually runs $actual, granted $granted" }
        }
        cluster.zones.forEach { checkCellCounters(it) }
    }

    /** Compares the counters of a cell with sums over its jobs and executors. */
    private fun checkCellCounters(zone: ZoneId) {
        val state = cluster.cells.getValue(zone).state
        state.executors.values.forEach { executor ->
            val used = executor.running.map { it.job.spec.need }.fold(Resources.NONE, Resources::plus)
            check(executor.free + used == executor.info.capacity) { "${executor.info.id}: free ${executor.free}, used $used" }
        }
        state.teams.values.forEach { team ->
            val jobs = state.jobs.values.filter { it.id.team == team.team }
            check(team.running == jobs.sumOf { it.active.size }) { "team ${team.team}: the cell counts ${team.running} running" }
            check(team.urgentRunning == jobs.filter { it.spec.urgent }.sumOf { it.active.size }) { "team ${team.team}: urgent count" }
            val day = team.day.sum(state.now)
            check(day.ran == jobs.count { it.outcome is Outcome.Ran }.toLong()) { "team ${team.team}: ${day.ran} ran in daily count" }
            check(
                day.notRun == jobs.count { it.outcome is Outcome.NotRun }.toLong(),
            ) { "team ${team.team}: ${day.notRun} not run in daily count" }
            check(day.unknown == jobs.count { it.outcome is Outcome.Unknown }.toLong()) { "team ${team.team}: unknown in daily count" }
            check(team.waiting == jobs.count { it.pending > 0 }) { "team ${team.team}: the cell counts ${team.waiting} waiting" }
        }
        state.jobs.values.forEach { job ->
            val waits =
                cluster.cells
                    .getValue(zone)
                    .status(job.id)
                    ?.waits
                    .orEmpty()
            waits.zipWithNext().forEach { (a, b) -> check(a.until <= b.from) { "${job.id}: wait intervals overlap: $waits" } }
            check(waits.all { it.millis >= 0 }) { "${job.id}: a wait interval of negative length: $waits" }
        }
    }

    /** Checks that no accepted job was lost: each one has an outcome or is a running service. */
    fun checkNoJobLost() {
        val unfinished =
            accepted.filter { id ->
                val jobs = cluster.cells.values.mapNotNull { it.job(id) }
                val running = jobs.any { it.spec.kind == WorkKind.SERVICE && it.active.isNotEmpty() }
                jobs.none { it.outcome != null } && !running
            }
        check(unfinished.isEmpty()) {
            val details = unfinished.take(3).map { id -> cluster.cells.map { (zone, cell) -> zone to cell.status(id) } }
            "accepted jobs without an outcome: $details"
        }
    }
}
