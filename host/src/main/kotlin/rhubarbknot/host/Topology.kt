package rhubarbknot.host

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.ZoneId
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.ReplicaId

/** Name of an entry host, also used as the name of its replicas. */
@Serializable
@JvmInline
value class HostId(
    val name: String,
) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = name.compareTo(other.name)

    override fun toString(): String = name

    val replica: ReplicaId get() = ReplicaId(name)
}

/** The entry host that holds this replica. */
val ReplicaId.host: HostId get() = HostId(name)

/**
 * Static information about a host, known to all hosts.
 *
 * @property peerAddress peer address for other entry hosts, as address:port.
 * @property hasDisk whether its replicas survive a restart; without a disk they are learners only.
 * @property apiAddress address for callers, operators and executors, as address:port.
 */
@Serializable
data class HostInfo(
    val id: HostId,
    val zone: ZoneId,
    val peerAddress: String = "",
    val apiAddress: String = "",
    val hasDisk: Boolean = true,
)

/** Identifies a replicated log: the registry or the cell of a zone. */
@Serializable
@JvmInline
value class GroupId(
    val name: String,
) {
    override fun toString(): String = name

    companion object {
        val REGISTRY = GroupId("registry")

        fun cell(zone: ZoneId): GroupId = GroupId("cell-${zone.name}")
    }
}

/**
 * Initial placement of the replicated logs on hosts.
 *
 * The registry has at most [MAX_REGISTRY_VOTERS] voters, spread over the zones; all other hosts are learners. The voters
 * of a cell are the hosts of its zone. A zone with an even number of them gets a witness in another zone, so that it
 * survives the loss of one host, and also a partition that cuts off the zone.
 */
class Topology(
    hosts: Collection<HostInfo>,
) {
    val hosts: List<HostInfo> = hosts.sortedBy { it.id }
    val zones: List<ZoneId> =
        this.hosts
            .map { it.zone }
            .distinct()
            .sorted()
    private val hostsByZone: Map<ZoneId, List<HostInfo>> = this.hosts.groupBy { it.zone }

    fun hostsOf(zone: ZoneId): List<HostInfo> = hostsByZone[zone].orEmpty()

    private fun hostsWithDisk(zone: ZoneId): List<HostInfo> = hostsOf(zone).filter { it.hasDisk }

    fun host(id: HostId): HostInfo? = hosts.firstOrNull { it.id == id }

    fun registryMembers(): Members {
        val interleaved = (0 until hosts.size).flatMap { index -> zones.mapNotNull { hostsWithDisk(it).getOrNull(index) } }
        val oddCount = if (interleaved.size % 2 == 0) interleaved.size - 1 else interleaved.size
        val voters = interleaved.take(minOf(MAX_REGISTRY_VOTERS, maxOf(1, oddCount))).map { it.id.replica }.toSet()
        return Members(voters = voters, learners = hosts.map { it.id.replica }.toSet() - voters)
    }

    fun cellMembers(zone: ZoneId): Members {
        val voters = hostsWithDisk(zone).map { it.id.replica }
        val learners = hostsOf(zone).map { it.id.replica } - voters.toSet()
        val witness = witnessOf(zone)?.replica
        return Members((voters + listOfNotNull(witness)).toSet(), setOfNotNull(witness), learners.toSet())
    }

    /** The host in another zone that is the witness of [zone]; null if the zone needs none. */
    fun witnessOf(zone: ZoneId): HostId? {
        if (hostsWithDisk(zone).size % 2 != 0 || zones.size < 2) return null
        val nextZone = zones[(zones.indexOf(zone) + 1) % zones.size]
        val candidates = hostsWithDisk(nextZone)
        return candidates.getOrNull(zones.indexOf(zone) % maxOf(1, candidates.size))?.id
    }

    /** Groups of which [id] holds a replica, with their members. */
    fun groupsOf(id: HostId): Map<GroupId, Members> {
        val all = zones.associate { GroupId.cell(it) to cellMembers(it) } + (GroupId.REGISTRY to registryMembers())
        return all.filterValues { id.replica in it.all }
    }

    companion object {
        const val MAX_REGISTRY_VOTERS = 5
    }
}
