package rhubarbknot.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.table.Finding
import rhubarbknot.core.table.TeamRow
import rhubarbknot.host.ExecutorSummary
import rhubarbknot.host.KeySummary
import rhubarbknot.host.LeaseSummary

/** JSON of the caller and operator interface. Unknown fields are refused, so that a typing error changes nothing. */
internal val apiJson =
    Json {
        ignoreUnknownKeys = false
        encodeDefaults = true
        explicitNulls = false
    }

/** Body of `POST /v1/jobs`. */
@Serializable
data class JobRequest(
    val queue: String,
    val id: String? = null,
    val kind: String = "call",
    val tasks: Int = 1,
    val gang: Boolean = false,
    val processors: Double = 1.0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
    val idempotent: Boolean = true,
    val urgent: Boolean = false,
    val expectedRunMillis: Long = 0,
    val deadlineMillis: Long = 0,
    val payload: String = "",
    val waitMillis: Long = 0,
    val spreadZones: Boolean = false,
)

/** What a caller is told of a job. */
@Serializable
data class JobReply(
    val id: String,
    val zone: String? = null,
    val phase: String? = null,
    val outcome: String? = null,
    val success: Boolean? = null,
    val answer: String? = null,
    val code: String? = null,
    val detail: String? = null,
    val tasks: Int? = null,
    val running: Int? = null,
    val completed: Int? = null,
    val failed: Int? = null,
    val waitedMillis: Long? = null,
)

/** What a caller is told of a job that was split over zones; each of [parts] is a job of its own. */
@Serializable
data class SpreadReply(
    val id: String,
    val parts: List<JobReply>,
)

/** Why a request was refused; nothing of it ran or was changed. */
@Serializable
data class ErrorReply(
    val code: String,
    val detail: String,
    val outcome: String = "notRun",
    val findings: List<Finding> = emptyList(),
)

/** Why a job waited. */
@Serializable
data class ExplainReply(
    val id: String,
    val zone: String,
    val waitedMillis: Long,
    val intervals: List<IntervalReply>,
    val sentences: List<String>,
    val advice: String? = null,
)

/** One interval of waiting. */
@Serializable
data class IntervalReply(
    val reason: String,
    val millis: Long,
)

/** Body of `POST /v1/cancel`. */
@Serializable
data class CancelRequest(
    val jobs: List<String>,
)

@Serializable
data class CancelReply(
    val stopped: Int,
    val missing: Int,
)

/** Body of `PUT /v1/table`. */
@Serializable
data class TableRequest(
    val rows: List<TeamRow>,
    val remove: List<String> = emptyList(),
    val whole: Boolean = false,
    val basedOn: Long,
    val changeId: String,
)

@Serializable
data class TableReply(
    val version: Long,
    val rows: List<TeamRow>,
)

/** Body of the other changes; [changeId] makes a resend harmless. */
@Serializable
data class ChangeRequest(
    val changeId: String,
    val basedOn: Long? = null,
    val team: String? = null,
    val inService: Boolean? = null,
    val openToAll: Boolean? = null,
)

/** Answer to a change. A key's secret is shown here once and stored nowhere. */
@Serializable
data class ChangeReply(
    val accepted: Boolean,
    val inForce: Boolean,
    val version: Long? = null,
    val conflict: String? = null,
    val findings: List<String> = emptyList(),
    val secret: String? = null,
)

@Serializable
data class StatusReply(
    val registryLeader: String,
    val version: Long,
    val zones: List<ZoneReply>,
    val leases: List<LeaseSummary>,
    val keys: List<KeySummary>,
)

@Serializable
data class ZoneReply(
    val zone: String,
    val inService: Boolean,
)

@Serializable
data class ZoneDetail(
    val zone: String,
    val leader: String,
    val configVersion: Long,
    val cutOff: Boolean,
    val jobs: Int,
    val executors: List<ExecutorSummary>,
    val teams: List<TeamDetail>,
)

@Serializable
data class TeamDetail(
    val team: String,
    val limit: Int,
    val running: Int,
    val waiting: Int,
    val asked: Long,
    val ran: Long,
    val notRun: Long,
    val unknown: Long,
    val waitedMillis: Long,
    val longestWaitMillis: Long,
    val retries: Long,
    val preempted: Long,
    val waits: List<WaitSum> = emptyList(),
    val hours: List<HourDetail> = emptyList(),
    val sizes: List<QueueUsageDetail> = emptyList(),
)

/** How long jobs waited for one reason. */
@Serializable
data class WaitSum(
    val reason: WaitReason,
    val millis: Long,
)

/** One hour of a team's day; [hoursAgo] 0 is the present one. */
@Serializable
data class HourDetail(
    val hoursAgo: Int,
    val asked: Long,
    val ran: Long,
    val waitedMillis: Long,
)

/** Nine of ten tasks of [queue] use at most [usedPercent] of what they declare. */
@Serializable
data class QueueUsageDetail(
    val queue: String,
    val usedPercent: Long,
)
