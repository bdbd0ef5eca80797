package rhubarbknot.core.registry

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.QueueId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.QueueRow
import rhubarbknot.core.table.TeamRow

/** A row of the table with the version of its last change. */
@Serializable
data class VersionedRow(
    val row: TeamRow,
    val version: Long,
)

/** A queue with the version of its last change. */
@Serializable
data class VersionedQueue(
    val row: QueueRow,
    val version: Long,
)

/** A key that was handed out. The secret itself is never stored. */
@Serializable
data class KeyRecord(
    val keyId: String,
    val team: TeamId,
    val sha256: String,
    val withdrawn: Boolean,
    val version: Long,
)

/** A zone as operators see it. */
@Serializable
data class ZoneRecord(
    val zone: ZoneId,
    val inService: Boolean,
    val version: Long,
)

/**
 * The part of a team's ceiling that sits in one zone.
 *
 * @property granted the most that the zone may have running; never raised before another zone gave back.
 * @property wanted what the zone should come to; less than [granted] while a return is under way.
 * @property version registry version of the last change, against which a return is checked.
 */
@Serializable
data class Grant(
    val granted: Int,
    val wanted: Int,
    val version: Long,
)

/** One line of the audit trail. */
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

/** Answer to a change. */
@Serializable
sealed interface ChangeResult {
    /** Committed as [version]. It is accepted once it is in force in every zone. */
    @Serializable
    data class Committed(
        val version: Long,
    ) : ChangeResult

    /** Somebody else changed [subject] since the version the change was based on; [present] is what stands now. */
    @Serializable
    data class Conflict(
        val subject: String,
        val version: Long,
        val present: String,
    ) : ChangeResult

    /** The change makes no sense here, whatever it is based on. */
    @Serializable
    data class Invalid(
        val findings: List<String>,
    ) : ChangeResult
}

/** A remembered answer, for resends. */
@Serializable
data class StoredChangeResult(
    val digest: String,
    val result: ChangeResult,
)

/** Everything the registry remembers. Maps keep their order, so that equal logs give equal bytes. */
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
