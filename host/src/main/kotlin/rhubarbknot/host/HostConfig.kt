package rhubarbknot.host

import rhubarbknot.core.cell.CellPolicy

/**
 * Settings of an entry host.
 *
 * @property zoneLeaseMillis how long a zone may act on its copy of the registry without renewing its lease. It bounds how
 * long a change takes to come into force while a zone is cut off.
 * @property executorLeaseMillis how long an executor may run attempts without a lease renewal.
 * @property driftPerMille maximum relative drift between any two clocks, in thousandths.
 * @property forwardRetryMillis time without a response after which a request is resent; requests are safe to resend.
 * @property requestTimeoutMillis time after which a request without a response is answered as unknown or refused.
 * @property snapshotEvery number of log entries between two snapshots.
 */
data class HostConfig(
    val self: HostId,
    val topology: Topology,
    val zoneLeaseMillis: Long = 4_000,
    val zoneRenewMillis: Long = 1_000,
    val executorLeaseMillis: Long = 6_000,
    val startMaxAgeMillis: Long = 2_000,
    val driftPerMille: Long = 10,
    val heartbeatMillis: Long = 200,
    val electionMinMillis: Long = 900,
    val electionMaxMillis: Long = 1_500,
    val forwardRetryMillis: Long = 400,
    val requestTimeoutMillis: Long = 5_000,
    val rebalanceMillis: Long = 500,
    val cellTickMillis: Long = 100,
    val shutdownMillis: Long = 10_000,
    val snapshotEvery: Long = 20_000,
    val seed: Long = 1,
    val cellPolicy: CellPolicy = CellPolicy(),
) {
    /** Upper bound, by this host's clock, of a period of [millis] by another host's clock, given [driftPerMille]. */
    fun withDrift(millis: Long): Long = millis + millis * 2 * driftPerMille / 1_000 + 1
}
