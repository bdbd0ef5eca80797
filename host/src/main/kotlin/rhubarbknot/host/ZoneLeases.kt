package rhubarbknot.host

import rhubarbknot.core.cell.TeamLoad
import rhubarbknot.core.model.ZoneId

/**
 * Zone leases granted by the registry's leader. Not replicated: a new leader waits for one lease duration before it
 * treats the lease of any zone as expired.
 */
internal class ZoneLeases(
    private val config: HostConfig,
) {
    private val holders = LinkedHashMap<HostId, Holder>()

    /** Time until which leases granted by an earlier leader may still be valid. */
    private var unknownUntil = 0L

    /** Latest version reported as in force; no host may act on an older one. Null until the leader has determined it. */
    private var minVersion: Long? = null

    fun begin(now: Long) {
        holders.clear()
        minVersion = null
        unknownUntil = now + config.withDrift(config.zoneLeaseMillis)
    }

    /**
     * Records a renewal. Returns false if the lease must not be renewed: the zone has not applied a pending change for
     * longer than the lease, or its leader lags behind a change that is in force.
     *
     * @param committed the registry's version, which a new leader assumes to be in force initially.
     */
    fun renew(
        from: HostId,
        renewal: PeerFrame.LeaseRenewal,
        committed: Long,
        oldestPending: PendingVersion?,
        now: Long,
    ): Boolean {
        val requiredVersion = minVersion ?: committed.also { minVersion = it }
        val lags = oldestPending != null && renewal.version < oldestPending.version && now - oldestPending.since > config.zoneLeaseMillis
        if (renewal.version < requiredVersion || lags) return false
        holders[from] = Holder(renewal.zone, renewal.version, now + config.withDrift(config.zoneLeaseMillis), renewal.loads)
        return true
    }

    /** Records that [version] was reported to operators as in force. */
    fun markReportedInForce(version: Long) {
        minVersion = maxOf(minVersion ?: 0, version)
    }

    /** Whether no zone can still act on state older than [version]. */
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

    fun summaries(now: Long): List<LeaseSummary> =
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

/** Oldest change that is committed but not yet in force in all zones. */
internal data class PendingVersion(
    val version: Long,
    val since: Long,
)
