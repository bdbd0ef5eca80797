package rhubarbknot.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.core.cell.JobStatus
import rhubarbknot.core.cell.TeamHourlyStats
import rhubarbknot.core.cell.TeamTotals
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.AuditRecord
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.VersionedRow
import rhubarbknot.core.registry.ZoneRecord

/** A request of a caller or an operator, whatever it came by. */
@Serializable
sealed interface ApiRequest {
    /**
     * Submits work, or asks again about work submitted before under the same id.
     *
     * @property keyHash hash of the caller's key; null without one. The key itself stays at the host that got it.
     * @property localId id within the team; given by the entry host when the caller has none.
     * @property zone home of the job; null for the one that follows from its id.
     * @property waitMillis how long the answer may take before the state is told instead.
     */
    @Serializable
    @SerialName("submit")
    data class Submit(
        val keyHash: String?,
        val queue: QueueId,
        val localId: String,
        val spec: JobSpec,
        val zone: ZoneId? = null,
        val waitMillis: Long = 0,
        val fingerprint: Long = 0,
    ) : ApiRequest

    /** Asks for the state of a job. */
    @Serializable
    @SerialName("lookUp")
    data class LookUp(
        val keyHash: String?,
        val job: JobId,
        val zone: ZoneId? = null,
        val waitMillis: Long = 0,
    ) : ApiRequest

    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val keyHash: String?,
        val jobs: List<JobId>,
        val zone: ZoneId,
    ) : ApiRequest

    /** An operator's change. */
    @Serializable
    @SerialName("change")
    data class Change(
        val change: RegistryCommand.Change,
        val waitMillis: Long,
    ) : ApiRequest

    @Serializable
    @SerialName("readRegistry")
    data object ReadRegistry : ApiRequest

    @Serializable
    @SerialName("readAudit")
    data class ReadAudit(
        val last: Int,
    ) : ApiRequest

    /** Keeps a refusal in the audit trail. */
    @Serializable
    @SerialName("record")
    data class Record(
        val refusal: RegistryCommand.RecordRefusal,
    ) : ApiRequest

    /** Reads executors, teams and load of one zone. */
    @Serializable
    @SerialName("readZone")
    data class ReadZone(
        val zone: ZoneId,
    ) : ApiRequest
}

/** Answer to an [ApiRequest]. */
@Serializable
sealed interface ApiResponse {
    /** The present state of a job; its outcome when it has ended. */
    @Serializable
    @SerialName("job")
    data class Job(
        val status: JobStatus,
        val zone: ZoneId,
    ) : ApiResponse

    /** Refused: nothing of this request ran or was changed. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: RefusalReason,
        val detail: String,
    ) : ApiResponse

    /** Whether the request was taken is not known; asking again about [job] tells. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val job: JobId?,
        val detail: String,
    ) : ApiResponse

    @Serializable
    @SerialName("cancelled")
    data class Cancelled(
        val stopped: Int,
        val missing: Int,
    ) : ApiResponse

    /** [inForce] once every zone has applied the change or has lost the right to act on older state. */
    @Serializable
    @SerialName("changed")
    data class Changed(
        val result: ChangeResult,
        val inForce: Boolean,
    ) : ApiResponse

    @Serializable
    @SerialName("registry")
    data class Registry(
        val version: Long,
        val rows: List<VersionedRow>,
        val zones: List<ZoneRecord>,
        val keys: List<KeySummary>,
        val leases: List<LeaseSummary>,
        val leader: HostId,
    ) : ApiResponse

    @Serializable
    @SerialName("audit")
    data class Audit(
        val records: List<AuditRecord>,
    ) : ApiResponse

    @Serializable
    @SerialName("zone")
    data class Zone(
        val zone: ZoneId,
        val leader: HostId,
        val configVersion: Long,
        val held: Boolean,
        val executors: List<ExecutorSummary>,
        val teams: List<TeamSummary>,
        val jobs: Int,
    ) : ApiResponse

    /** The receiver can't answer now; ask again, at [leader] when it is known. */
    @Serializable
    @SerialName("retry")
    data class Retry(
        val leader: HostId? = null,
    ) : ApiResponse

    /** The job is in [zone] now. */
    @Serializable
    @SerialName("elsewhere")
    data class Elsewhere(
        val zone: ZoneId,
    ) : ApiResponse
}

/** A key as operators see it. */
@Serializable
data class KeySummary(
    val keyId: String,
    val team: TeamId,
    val withdrawn: Boolean,
)

/** Who acts for a zone, until when, and which version is in force there. */
@Serializable
data class LeaseSummary(
    val zone: ZoneId,
    val holder: HostId,
    val millisLeft: Long,
    val version: Long,
)

/** A worker or endpoint as operators see it. */
@Serializable
data class ExecutorSummary(
    val id: String,
    val kind: String,
    val status: String,
    val rack: String,
    val capacity: String,
    val free: String,
    val running: Int,
)

/**
 * A team in one zone as operators see it.
 *
 * @property totals of the last day, and [hours] the same hour by hour.
 * @property nowMillis time of the cell, which [hours] are counted in.
 * @property sizes how much of what they declare the tasks of each queue use.
 */
@Serializable
data class TeamSummary(
    val team: TeamId,
    val limit: Int,
    val running: Int,
    val waiting: Int,
    val totals: TeamTotals,
    val hours: List<TeamHourlyStats> = emptyList(),
    val nowMillis: Long = 0,
    val sizes: List<QueueUsage> = emptyList(),
)

/** Nine of ten tasks of [queue] use at most [percent] of what they declare. */
@Serializable
data class QueueUsage(
    val queue: QueueId,
    val percent: Long,
)
