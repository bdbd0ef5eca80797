package rhubarbknot.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import rhubarbknot.host.GroupId
import rhubarbknot.host.HostConfig
import rhubarbknot.host.HostEffect
import rhubarbknot.host.HostEvent
import rhubarbknot.host.HostId
import rhubarbknot.host.PeerFrame
import rhubarbknot.quorum.disk.DataFolder
import rhubarbknot.quorum.disk.NoOpStorage
import rhubarbknot.quorum.disk.Storage
import rhubarbknot.wire.Addresses
import rhubarbknot.wire.LinkSecret
import rhubarbknot.wire.LinkSettings
import rhubarbknot.wire.PeerListener
import rhubarbknot.wire.PeerTransport
import java.nio.file.Path

private val log = KotlinLogging.logger {}

/**
 * Configuration of an entry daemon: the [host] configuration plus storage, credentials and link settings.
 *
 * @property data folder for the persisted state; null for a host without a disk, which learns and relays but never votes.
 * @property cluster name that peers must share, so that hosts of different deployments cannot connect.
 * @property secret shared secret that authenticates peers.
 * @property operatorToken token that operators' requests must carry.
 */
data class DaemonConfig(
    val host: HostConfig,
    val data: Path?,
    val cluster: String,
    val secret: String,
    val operatorToken: String,
    val links: LinkSettings = LinkSettings(),
)

/** One entry host, in a process of its own or embedded in another: the driver with its sockets and files. */
class EntryDaemon(
    private val config: DaemonConfig,
    dispatcher: CoroutineDispatcher = Dispatchers.IO,
) : AutoCloseable {
    private val self = checkNotNull(config.host.topology.host(config.host.self))
    private val folder = config.data?.let { DataFolder(it) }
    val metrics = HostMetrics()
    val driver = HostDriver(config.host, storages(), MonotonicClock(), metrics)
    private val executors = ExecutorSockets(driver::enqueue)
    private val peers =
        PeerTransport(self, config.host.topology, config.cluster, LinkSecret(config.secret), PeerEvents(), dispatcher, config.links)
    private val api =
        ApiServer(
            Addresses.split(self.apiAddress),
            self.zone.name,
            config.host.topology.zones,
            driver,
            executors,
            metrics,
            config.operatorToken,
        )

    /** Total bytes sent to peers. */
    val sentBytes: Long get() = peers.sentBytes.get()

    private fun storages(): Map<GroupId, Storage> =
        config.host.topology
            .groupsOf(config.host.self)
            .mapValues { (group, _) -> folder?.storage(group.name) ?: NoOpStorage() }

    /** Recovers the persisted state, connects to peers and starts the API server. */
    suspend fun start() {
        driver.start(DaemonTransport())
        peers.start()
        api.start()
        log.info { "entry host ${self.id} of zone ${self.zone} is serving on ${self.apiAddress}" }
    }

    /** Transfers leadership and completes work in progress before closing connections; bounded by the host's settings. */
    suspend fun shutDown() {
        driver.shutDown()
        api.stopAccepting(SHUTDOWN_GRACE_MILLIS)
        close()
        log.info { "entry host ${self.id} has shut down" }
    }

    /** Stops immediately without a handover, as if the process had been killed. */
    override fun close() {
        api.close()
        peers.close()
        driver.close()
        folder?.close()
    }

    private inner class PeerEvents : PeerListener {
        override fun received(
            from: HostId,
            frame: PeerFrame,
        ) = driver.enqueue(HostEvent.PeerReceived(from, frame))

        override fun connected(
            to: HostId,
            count: Int,
        ) {
            metrics.recordPeerConnection()
            if (count > 1) log.info { "${self.id}: reconnected to $to, connection number $count" }
        }

        override fun refused(
            who: String,
            why: String,
        ) {
            metrics.recordPeerRefusal()
            log.warn { "${self.id}: peer $who refused: $why" }
            driver.enqueue(HostEvent.Refused("peer $who", why, System.currentTimeMillis()))
        }
    }

    private inner class DaemonTransport : HostTransport {
        override fun sendPeer(effect: HostEffect.SendPeer) = peers.send(effect.to, effect.frame)

        override fun sendExecutor(effect: HostEffect.SendExecutor) = executors.send(effect)

        override fun closeExecutor(effect: HostEffect.CloseExecutor) = executors.close(effect)
    }

    private companion object {
        const val SHUTDOWN_GRACE_MILLIS = 1_000L
    }
}
