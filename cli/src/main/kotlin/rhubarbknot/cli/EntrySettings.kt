package rhubarbknot.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import rhubarbknot.core.model.ZoneId
import rhubarbknot.daemon.DaemonConfig
import rhubarbknot.host.HostConfig
import rhubarbknot.host.HostId
import rhubarbknot.host.HostInfo
import rhubarbknot.host.Topology
import rhubarbknot.wire.Addresses
import java.nio.file.Path

/** One invalid or missing setting, with the flag or the variable that it came from. */
data class SettingFinding(
    val source: String,
    val found: String,
    val allowed: String,
) {
    override fun toString(): String = "$source: found \"$found\", allowed: $allowed"
}

/**
 * Reads the settings of an entry daemon from flags and, where a flag is missing, from environment variables; the
 * flag `--api-address` is the variable `RHUBARBKNOT_API_ADDRESS`. All findings are reported together.
 */
class EntrySettings(
    private val flags: Map<String, String?>,
    private val environment: Map<String, String>,
) {
    private val findings = ArrayList<SettingFinding>()

    fun read(): Result<DaemonConfig, List<SettingFinding>> {
        val id = required("id", "a name of letters, digits and dashes") { NAME_PATTERN.matches(it) }
        val zone = required("zone", "a name of letters, digits and dashes") { NAME_PATTERN.matches(it) }
        val peerAddress = required("peer-address", ADDRESS_FORM) { Addresses.parse(it) != null }
        val apiAddress = required("api-address", ADDRESS_FORM) { Addresses.parse(it) != null }
        val secret = required("secret", "at least $MIN_SECRET_LENGTH characters") { it.length >= MIN_SECRET_LENGTH }
        val token = required("operator-token", "at least $MIN_SECRET_LENGTH characters") { it.length >= MIN_SECRET_LENGTH }
        val cluster = value("cluster") ?: "rhubarbknot"
        val data = value("data")
        val peers = peers()
        val self = HostInfo(HostId(id), ZoneId(zone), peerAddress, apiAddress, hasDisk = data != null)
        if (peers.any { it.id == self.id }) reject("peers", id, "other hosts only")
        val zoneLease = millis("zone-lease-millis", DEFAULT_ZONE_LEASE_MILLIS)
        val shutdown = millis("shutdown-millis", DEFAULT_SHUTDOWN_MILLIS)
        if (findings.isNotEmpty()) return Err(findings)
        val host =
            HostConfig(
                self.id,
                Topology(peers + self),
                zoneLeaseMillis = zoneLease,
                zoneRenewMillis = minOf(zoneLease / RENEWALS_PER_LEASE, MAX_RENEW_MILLIS),
                shutdownMillis = shutdown,
                seed = System.nanoTime(),
            )
        return Ok(DaemonConfig(host, data?.let { Path.of(it) }, cluster, secret, token))
    }

    private fun value(name: String): String? = flags[name] ?: environment[variable(name)]?.takeIf { it.isNotEmpty() }

    private fun variable(name: String) = "RHUBARBKNOT_" + name.uppercase().replace('-', '_')

    private fun sourceOf(name: String): String = if (flags[name] != null) "--$name" else variable(name)

    private fun required(
        name: String,
        allowed: String,
        valid: (String) -> Boolean,
    ): String {
        val text = value(name)
        if (text == null) {
            findings += SettingFinding("--$name or ${variable(name)}", "", allowed)
            return ""
        }
        if (!valid(text)) reject(name, if (name in SECRETS) "${text.length} characters" else text, allowed)
        return text
    }

    private fun reject(
        name: String,
        found: String,
        allowed: String,
    ) {
        findings += SettingFinding(sourceOf(name), found, allowed)
    }

    private fun millis(
        name: String,
        default: Long,
    ): Long {
        val text = value(name) ?: return default
        val number = text.toLongOrNull()
        if (number == null || number !in MILLIS_RANGE) reject(name, text, "milliseconds from ${MILLIS_RANGE.first} to ${MILLIS_RANGE.last}")
        return number ?: default
    }

    private fun peers(): List<HostInfo> {
        val text = value("peers") ?: return emptyList()
        return text
            .split(',')
            .map { it.trim() }
            .filter { it.isNotEmpty() }
            .mapNotNull { peer(it) }
    }

    private fun peer(text: String): HostInfo? {
        val match = PEER_PATTERN.matchEntire(text)
        val parts = match?.groupValues.orEmpty()
        if (match == null || Addresses.parse(parts[3]) == null || Addresses.parse(parts[4]) == null) {
            reject("peers", text, "NAME@ZONE=PEERADDRESS/APIADDRESS, with /nodisk behind it for a host without a disk")
            return null
        }
        return HostInfo(HostId(parts[1]), ZoneId(parts[2]), parts[3], parts[4], hasDisk = parts[5].isEmpty())
    }

    private companion object {
        const val ADDRESS_FORM = "an IP address and a port, such as 127.0.0.1:7001"
        const val MIN_SECRET_LENGTH = 12
        const val DEFAULT_ZONE_LEASE_MILLIS = 4_000L
        const val DEFAULT_SHUTDOWN_MILLIS = 10_000L
        const val RENEWALS_PER_LEASE = 4L
        const val MAX_RENEW_MILLIS = 1_000L
        val MILLIS_RANGE = 1_000L..3_600_000L
        val SECRETS = setOf("secret", "operator-token")
        val NAME_PATTERN = Regex("[A-Za-z0-9-]{1,64}")
        val PEER_PATTERN = Regex("([A-Za-z0-9-]+)@([A-Za-z0-9-]+)=([^/]+)/([^/]+)(/nodisk)?")
    }
}
