package rhubarbknot.host

import rhubarbknot.core.cell.TeamLoad
import rhubarbknot.core.model.ZoneId

/**
 * The leases that the registry's leader has given to zones. Not replicated: a new leader waits one lease long before
 * it takes any zone to have lost its lease.
 */
internal class ZoneLeases(
    private val config: HostConfig,
) {
    private val holders = LinkedHashMap<HostId, Holder>()

    /** Until when leases given by an earlier leader may hold. */
    private var unknownUntil = 0L

    /** The newest version that is told to be in force; no host may act on an older one. Null until a leader knows it. */
    private var floor: Long? = null

    fun begin(now: Long) {
        holders.clear()
        floor = null
        unknownUntil = now + config.withDrift(config.zoneLeaseMillis)
    }

    /**
     * Notes a renewal. Returns false when the lease must not be renewed: the zone does not take up changes, or it has
     * a leader that has not yet heard of a change that is in force.
     *
     * @param committed the registry's version, which a new leader takes for in force until it knows better.
     */
    fun renew(
        from: HostId,
        renewal: PeerFrame.LeaseRenewal,
        committed: Long,
        oldestPending: PendingVersion?,
        now: Long,
    ): Boolean {
        val least = floor ?: committed.also { floor = it }
        val lags = oldestPending != null && renewal.version < oldestPending.version && now - oldestPending.since > config.zoneLeaseMillis
        if (renewal.version < least || lags) return false
        holders[from] = Holder(renewal.zone, renewal.version, now + config.withDrift(config.zoneLeaseMillis), renewal.loads)
        return true
    }

    /** Operators were told that [version] is in force. */
    fun toldInForce(version: Long) {
        floor = maxOf(floor ?: 0, version)
    }

    /** Whether no zone can act any more on a state older than [version]. */
    fun isInForce(
        version: Long,
        now: Long,
    ): Boolean {
        val held = holders.values.filter { it.expiresAt > now }
        if (held.any { it.version < version }) return false
        return now >= unknownUntil
    }

    fun loads(now: Long): Map<ZoneId, List<TeamLoad>> =
        holders.values
            .filter { it.expiresAt > now }
            .groupBy { it.zone }
            .mapValues { (_, list) -> list.maxBy { it.expiresAt }.loads }

    fun lines(now: Long): List<LeaseSummary> =
        holders.entries.filter { it.value.expiresAt > now }.map { (host, holder) ->
            LeaseSummary(holder.zone, host, holder.expiresAt - now, holder.version)
        }

    fun dropExpired(now: Long) {
        holders.values.removeIf { it.expiresAt <= now }
    }

    private class Holder(
        val zone: ZoneId,
        val version: Long,
        val expiresAt: Long,
        val loads: List<TeamLoad>,
    )
}

/** The oldest change that is committed and not yet in force everywhere. */
internal data class PendingVersion(
    val version: Long,
    val since: Long,
)
