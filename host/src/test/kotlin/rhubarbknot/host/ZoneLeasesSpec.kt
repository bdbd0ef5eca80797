package rhubarbknot.host

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.ZoneOffer
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@DisplayName("zone leases granted by the registry")
class ZoneLeasesSpec {
    private val zone = ZoneId("kalaa")
    private val host = HostId("kalaa1")
    private val leases = ZoneLeases(HostConfig(host, Topology(listOf(HostInfo(host, zone)))))

    private fun renew(
        version: Long,
        committed: Long = 10,
        now: Long = 1_000,
    ) = leases.renew(host, PeerFrame.LeaseRenewal(zone, now, version, emptyList(), ZoneOffer(zone)), committed, null, now)

    @Test
    fun `are not granted by a new leader to a host that lags behind the committed version`() {
        leases.begin(0)
        expectThat(renew(version = 9)).isEqualTo(false)
        expectThat(renew(version = 10)).isEqualTo(true)
    }

    @Test
    fun `are not granted to a host that lags behind the version reported to operators`() {
        leases.begin(0)
        expectThat(renew(version = 10)).isEqualTo(true)
        leases.markReportedInForce(12)
        expectThat(renew(version = 11, committed = 12)).isEqualTo(false)
        expectThat(renew(version = 12, committed = 12)).isEqualTo(true)
    }

    @Test
    fun `use the older version of a host that returned with an older registry`() {
        leases.begin(-100_000)
        expectThat(renew(version = 12, committed = 10)).isEqualTo(true)
        expectThat(leases.isInForce(12, 1_100)).isEqualTo(true)
        expectThat(renew(version = 11, committed = 12, now = 1_200)).isEqualTo(true)
        expectThat(leases.isInForce(12, 1_300)).isEqualTo(false)
    }
}
