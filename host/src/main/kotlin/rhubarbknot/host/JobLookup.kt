package rhubarbknot.host

import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.Executor
import rhubarbknot.core.cell.TeamState
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.Registry

/** Answers read requests from a cell's state. */
internal class JobLookup(
    private val host: HostContext,
    private val zone: ZoneId,
    private val cell: Cell,
    private val registry: Registry,
) {
    /** The refusal of [request] if its key has no access to the job; otherwise null. */
    fun refusal(request: ApiRequest.LookUp): ApiResponse? {
        if (KeyCheck.mayRead(registry, request.keyHash, request.job.team)) return null
        return ApiResponse.Refused(RefusalReason.BAD_KEY, "this key is not one of team ${request.job.team}")
    }

    fun describe(id: JobId): ApiResponse {
        val status = cell.status(id) ?: return ApiResponse.Refused(RefusalReason.NO_SUCH_JOB, "zone $zone knows no job $id")
        val movedTo = status.movedTo
        return if (movedTo != null) ApiResponse.Elsewhere(movedTo) else ApiResponse.Job(status, zone)
    }

    fun zone(group: Group): ApiResponse =
        ApiResponse.Zone(
            zone = zone,
            leader = group.leader ?: host.config.self,
            configVersion = cell.state.configVersion,
            held = cell.state.held,
            executors =
                cell.state.executors.values
                    .map { summary(it) },
            teams =
                cell.state.teams.values
                    .map { summary(it) },
            jobs = cell.state.jobs.size,
        )

    private fun summary(team: TeamState): TeamSummary {
        val now = cell.state.now
        val queueUsage = cell.usedPercent(team.team).map { (queue, percent) -> QueueUsage(queue, percent) }
        return TeamSummary(team.team, team.limit, team.running, team.waiting, team.day.sum(now), team.day.hours(now), now, queueUsage)
    }

    private fun summary(executor: Executor) =
        ExecutorSummary(
            id = executor.info.id.name,
            kind =
                executor.info.kind.name
                    .lowercase(),
            status = executor.status.name.lowercase(),
            rack = executor.info.rack,
            capacity = format(executor.info.capacity),
            free = format(executor.free),
            running = executor.running.size,
        )

    private fun format(amount: Resources): String =
        listOfNotNull(
            "${amount.milliCpus / MILLI_CPUS_PER_CPU} cpu".takeIf { amount.milliCpus > 0 },
            "${amount.memoryMb} MB".takeIf { amount.memoryMb > 0 },
            "${amount.accelerators} acc".takeIf { amount.accelerators > 0 },
            "${amount.slots} slots".takeIf { amount.slots > 0 },
        ).joinToString(" ")

    private companion object {
        const val MILLI_CPUS_PER_CPU = 1_000
    }
}
