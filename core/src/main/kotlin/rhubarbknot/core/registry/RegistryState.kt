package rhubarbknot.core.registry

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.QueueRow
import rhubarbknot.core.table.TeamRow

/** A row of the team table and the registry version of its last change. */
@Serializable
data class VersionedRow(
    val row: TeamRow,
    val version: Long,
)

/** A queue and the registry version of its last change. */
@Serializable
data class VersionedQueue(
    val row: QueueRow,
    val version: Long,
)

/** An issued API key. Only its hash is stored, never the secret itself. */
@Serializable
data class KeyRecord(
    val keyId: String,
    val team: TeamId,
    val sha256: String,
    val withdrawn: Boolean,
    val version: Long,
)

/** An availability zone and whether operators have it in service. */
@Serializable
data class ZoneRecord(
    val zone: ZoneId,
    val inService: Boolean,
    val version: Long,
)

/**
 * The part of a team's ceiling that is assigned to one zone.
 *
 * @property granted upper bound of what the zone may have running; raised only by capacity that no zone holds, so
 * another zone has to return its grant first when the ceiling is fully granted.
 * @property wanted target of the grant; less than [granted] until the zone has returned the difference.
 * @property version registry version of the last change; a return based on an older version is ignored.
 */
@Serializable
data class Grant(
    val granted: Int,
    val wanted: Int,
    val version: Long,
)

/** An entry of the audit trail. */
@Serializable
data class AuditRecord(
    val version: Long,
    val atMillis: Long,
    val actor: String,
    val changeId: String,
    val basedOn: Long,
    val accepted: Boolean,
    val subject: String,
    val before: String,
    val after: String,
)

/** Result of a change. */
@Serializable
sealed interface ChangeResult {
    /** Committed as [version]. The change is reported as accepted once every zone has applied it. */
    @Serializable
    data class Committed(
        val version: Long,
    ) : ChangeResult

    /** [subject] was modified after the version that the change is based on; [present] describes its current value. */
    @Serializable
    data class Conflict(
        val subject: String,
        val version: Long,
        val present: String,
    ) : ChangeResult

    /** The change is invalid, whatever version it is based on. */
    @Serializable
    data class Invalid(
        val findings: List<String>,
    ) : ChangeResult
}

/** The result of a change, kept to answer retries, and the digest of the edit that it belongs to. */
@Serializable
data class StoredChangeResult(
    val digest: String,
    val result: ChangeResult,
)

/** Complete state of the registry. Maps preserve insertion order, so that equal logs give byte-identical snapshots. */
@Serializable
class RegistryState {
    var version = 0L
    val rows = LinkedHashMap<TeamId, VersionedRow>()
    val queues = LinkedHashMap<QueueId, VersionedQueue>()
    val keys = LinkedHashMap<String, KeyRecord>()
    val zones = LinkedHashMap<ZoneId, ZoneRecord>()
    val grants = LinkedHashMap<TeamId, LinkedHashMap<ZoneId, Grant>>()
    val offers = LinkedHashMap<ZoneId, ZoneOffer>()
    val answers = LinkedHashMap<ChangeId, StoredChangeResult>()
    val audit = BoundedLog<AuditRecord>()
}
