package rhubarbknot.host

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.ZoneId

/** Health of one replica on a host. */
@Serializable
data class GroupHealth(
    val group: GroupId,
    val leader: HostId?,
    val term: Long,
    val commitIndex: Long,
    val leads: Boolean,
    val haltReason: String?,
)

/** Health of a host, from local state only. */
@Serializable
data class HostHealth(
    val host: HostId,
    val zone: ZoneId,
    val groups: List<GroupHealth>,
    val zoneLeaseLeftMillis: Long,
    val registryVersion: Long,
) {
    /**
     * Ready if a leader of the own zone's cell is known and the local replica is not halted, so that the zone's
     * requests can be served.
     */
    val isReady: Boolean get() = groups.any { it.group == GroupId.cell(zone) && it.leader != null && it.haltReason == null }
}
