package rhubarbknot.core.registry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.table.QueueRow
import rhubarbknot.core.table.TeamRow

/** Idempotency key of a change, chosen by the operator's client; a retry with the same id gets the original result. */
@Serializable
@JvmInline
value class ChangeId(
    val value: String,
)

/** A command in the registry's replicated log. */
@Serializable
sealed interface RegistryCommand {
    /**
     * A change made by an operator.
     *
     * @property actor who requested the change.
     * @property basedOn registry version that the operator last read; the change conflicts if a record that it modifies
     * has changed since.
     * @property atMillis wall-clock time for the audit trail; no decision depends on it.
     */
    @Serializable
    @SerialName("change")
    data class Change(
        val id: ChangeId,
        val actor: String,
        val basedOn: Long,
        val atMillis: Long,
        val edit: Edit,
    ) : RegistryCommand

    /**
     * A cell returns the unused part of its grant: it uses at most [held] and has applied registry version [atVersion].
     */
    @Serializable
    @SerialName("returnGrant")
    data class ReturnGrant(
        val team: TeamId,
        val zone: ZoneId,
        val held: Int,
        val atVersion: Long,
    ) : RegistryCommand

    /** Moves parts of team ceilings between zones; proposed by the registry's leader. */
    @Serializable
    @SerialName("rebalance")
    data class Rebalance(
        val moves: List<GrantMove>,
    ) : RegistryCommand

    /** Publishes the capacity of the largest worker and endpoint in a zone; zero for a kind that the zone lacks. */
    @Serializable
    @SerialName("offer")
    data class Offer(
        val offer: ZoneOffer,
    ) : RegistryCommand

    /** Records in the audit trail that a request was refused before it became a change; recorded once per [id]. */
    @Serializable
    @SerialName("recordRefusal")
    data class RecordRefusal(
        val actor: String,
        val atMillis: Long,
        val what: String,
        val id: String,
    ) : RegistryCommand
}

/** Capacity of the largest worker and of the largest endpoint in [zone]. */
@Serializable
data class ZoneOffer(
    val zone: ZoneId,
    val worker: Resources = Resources.NONE,
    val endpoint: Resources = Resources.NONE,
)

/** Sets the target of [zone] to [wanted] of [team]'s ceiling. */
@Serializable
data class GrantMove(
    val team: TeamId,
    val zone: ZoneId,
    val wanted: Int,
)

/** The contents of an operator's change. An edit is applied atomically. */
@Serializable
sealed interface Edit {
    /**
     * Adds or replaces rows of the team table, and removes teams.
     *
     * @property whole whether [rows] is the complete table, so that teams not listed are removed.
     */
    @Serializable
    @SerialName("table")
    data class Table(
        val rows: List<TeamRow> = emptyList(),
        val remove: List<TeamId> = emptyList(),
        val whole: Boolean = false,
    ) : Edit

    @Serializable
    @SerialName("queue")
    data class Queue(
        val row: QueueRow,
    ) : Edit

    /** Registers an API key for a team; only the hash of the key is stored. */
    @Serializable
    @SerialName("giveKey")
    data class GiveKey(
        val keyId: String,
        val team: TeamId,
        val sha256: String,
    ) : Edit

    @Serializable
    @SerialName("withdrawKey")
    data class WithdrawKey(
        val keyId: String,
    ) : Edit

    /** Adds a zone, initially in service. */
    @Serializable
    @SerialName("addZone")
    data class AddZone(
        val zone: ZoneId,
    ) : Edit

    /** Takes a zone out of service or returns it to service. */
    @Serializable
    @SerialName("setZone")
    data class SetZone(
        val zone: ZoneId,
        val inService: Boolean,
    ) : Edit
}
