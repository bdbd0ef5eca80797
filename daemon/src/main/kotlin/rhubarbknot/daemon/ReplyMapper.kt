package rhubarbknot.daemon

import io.ktor.http.HttpStatusCode
import rhubarbknot.core.cell.JobStatus
import rhubarbknot.core.cell.TeamDailyStats
import rhubarbknot.core.cell.TeamHourlyStats
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.host.ApiResponse
import rhubarbknot.host.TeamSummary

/** Maps responses of the host to replies of the HTTP API. */
internal object ReplyMapper {
    fun job(
        status: JobStatus,
        zone: String,
    ): JobReply {
        val base =
            JobReply(
                id = status.id.toString(),
                zone = zone,
                phase = status.phase.name.lowercase(),
                tasks = status.tasks,
                running = status.running,
                completed = status.completed,
                failed = status.failed,
                waitedMillis = status.waits.sumOf { it.millis },
            )
        return when (val outcome = status.outcome) {
            is Outcome.Ran -> base.copy(outcome = "ran", success = outcome.success, answer = outcome.answer)
            is Outcome.NotRun -> base.copy(outcome = "notRun", code = code(outcome.reason), detail = outcome.detail)
            is Outcome.Unknown -> base.copy(outcome = "unknown", detail = outcome.detail)
            null -> base
        }
    }

    /** Maps any [response] about the job with the requested [id] to a reply. */
    fun job(
        response: ApiResponse,
        id: String,
    ): JobReply =
        when (response) {
            is ApiResponse.Job -> job(response.status, response.zone.name)
            is ApiResponse.Refused -> JobReply(id, outcome = "notRun", code = code(response.reason), detail = response.detail)
            is ApiResponse.Unknown -> JobReply(response.job?.toString() ?: id, outcome = "unknown", detail = response.detail)
            else -> JobReply(id, outcome = "unknown", detail = "no answer in time; ask again")
        }

    fun code(reason: RefusalReason): String = reason.name.lowercase()

    fun statusOf(reason: RefusalReason): HttpStatusCode =
        when (reason) {
            RefusalReason.BAD_REQUEST, RefusalReason.NEVER_FITS -> HttpStatusCode.UnprocessableEntity
            RefusalReason.BAD_KEY -> HttpStatusCode.Unauthorized
            RefusalReason.UNKNOWN_TEAM, RefusalReason.UNKNOWN_QUEUE, RefusalReason.NO_SUCH_JOB -> HttpStatusCode.NotFound
            RefusalReason.ID_REUSED, RefusalReason.CONFLICT -> HttpStatusCode.Conflict
            RefusalReason.QUEUE_FULL -> HttpStatusCode.TooManyRequests
            RefusalReason.ZONE_UNREACHABLE, RefusalReason.SHUTTING_DOWN, RefusalReason.RETENTION_FULL -> HttpStatusCode.ServiceUnavailable
            RefusalReason.DEADLINE_PASSED, RefusalReason.CANCELLED -> HttpStatusCode.OK
        }

    fun change(response: ApiResponse.Changed): ChangeReply =
        when (val result = response.result) {
            is ChangeResult.Committed -> ChangeReply(accepted = true, inForce = response.inForce, version = result.version)
            is ChangeResult.Conflict -> ChangeReply(accepted = false, inForce = false, version = result.version, conflict = result.present)
            is ChangeResult.Invalid -> ChangeReply(accepted = false, inForce = false, findings = result.findings)
        }

    fun zone(response: ApiResponse.Zone): ZoneDetail =
        ZoneDetail(
            zone = response.zone.name,
            leader = response.leader.name,
            configVersion = response.configVersion,
            cutOff = response.held,
            jobs = response.jobs,
            executors = response.executors,
            teams =
                response.teams.map { team(it) },
        )

    private fun team(summary: TeamSummary): TeamDetail {
        val totals = summary.totals
        return TeamDetail(
            team = summary.team.name,
            limit = summary.limit,
            running = summary.running,
            waiting = summary.waiting,
            asked = totals.asked,
            ran = totals.ran,
            notRun = totals.notRun,
            unknown = totals.unknown,
            waitedMillis = totals.waitedMillis,
            longestWaitMillis = totals.longestWaitMillis,
            retries = totals.retries,
            preempted = totals.preempted,
            waits = totals.waited.map { (reason, millis) -> WaitSum(reason, millis) },
            hours = summary.hours.map { hour(it, summary.nowMillis) },
            sizes = summary.sizes.map { QueueUsageDetail(it.queue.name, it.percent) },
        )
    }

    private fun hour(
        hour: TeamHourlyStats,
        nowMillis: Long,
    ): HourDetail {
        val hoursAgo = (nowMillis / TeamDailyStats.HOUR_MILLIS - hour.startMillis / TeamDailyStats.HOUR_MILLIS).toInt()
        return HourDetail(hoursAgo, hour.totals.asked, hour.totals.ran, hour.totals.waitedMillis)
    }
}
