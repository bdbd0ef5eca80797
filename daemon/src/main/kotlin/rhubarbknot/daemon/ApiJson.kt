package rhubarbknot.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.table.Finding
import rhubarbknot.core.table.TeamRow
import rhubarbknot.host.ExecutorSummary
import rhubarbknot.host.KeySummary
import rhubarbknot.host.LeaseSummary

/** JSON format of the caller and operator API. Unknown fields are rejected, so that a misspelled field is not silently ignored. */
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

/** State of a job as reported to a caller. */
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

/** State of a job that was split across zones; each of [parts] is a separate job. */
@Serializable
data class SpreadReply(
    val id: String,
    val parts: List<JobReply>,
)

/** Reason why a request was refused. With the default [outcome], nothing ran and nothing changed. */
@Serializable
data class ErrorReply(
    val code: String,
    val detail: String,
    val outcome: String = "notRun",
    val findings: List<Finding> = emptyList(),
)

/** Explanation of how long a job waited and why. */
@Serializable
data class ExplainReply(
    val id: String,
    val zone: String,
    val waitedMillis: Long,
    val intervals: List<IntervalReply>,
    val sentences: List<String>,
    val advice: String? = null,
)

/** One interval during which a job waited for a single reason. */
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

/** Body of changes to keys, zones and queues; [changeId] makes retries idempotent. */
@Serializable
data class ChangeRequest(
    val changeId: String,
    val basedOn: Long? = null,
    val team: String? = null,
    val inService: Boolean? = null,
    val openToAll: Boolean? = null,
)

/** Response to a change. The secret of a new key is returned only here and is never stored. */
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

/** Total time that jobs waited for one reason. */
@Serializable
data class WaitSum(
    val reason: WaitReason,
    val millis: Long,
)

/** Statistics of a team for one hour; [hoursAgo] 0 is the current hour. */
@Serializable
data class HourDetail(
    val hoursAgo: Int,
    val asked: Long,
    val ran: Long,
    val waitedMillis: Long,
)

/** 90th percentile of the resource usage of tasks of [queue], as a percentage of the declared resources. */
@Serializable
data class QueueUsageDetail(
    val queue: String,
    val usedPercent: Long,
)
