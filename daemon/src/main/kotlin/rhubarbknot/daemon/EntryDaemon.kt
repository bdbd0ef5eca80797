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
 * What an entry daemon needs beside the host's own settings.
 *
 * @property data folder for the state; null for a host without a disk, which learns and relays but never votes.
 * @property cluster name that peers must share, so that two deployments can't mix.
 * @property secret that peers must know.
 * @property operatorToken that operators' requests must carry.
 */
data class DaemonConfig(
    val host: HostConfig,
    val data: Path?,
    val cluster: String,
    val secret: String,
    val operatorToken: String,
    val links: LinkSettings = LinkSettings(),
)

/** One entry host as a process or as part of one: the driver with its sockets and files. */
class EntryDaemon(
    private val config: DaemonConfig,
    dispatcher: CoroutineDispatcher = Dispatchers.IO,
) : AutoCloseable {
    private val self = checkNotNull(config.host.topology.host(config.host.self))
    private val folder = config.data?.let { DataFolder(it) }
    val metrics = HostMetrics()
    val driver = HostDriver(config.host, storages(), MonotonicClock(), metrics)
    private val executors = ExecutorSockets(driver::feed)
    private val peers =
        PeerTransport(self, config.host.topology, config.cluster, LinkSecret(config.secret), Listener(), dispatcher, config.links)
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

    /** Bytes sent to peers so far. */
    val sentBytes: Long get() = peers.sentBytes.get()

    private fun storages(): Map<GroupId, Storage> =
        config.host.topology
            .groupsOf(config.host.self)
            .mapValues { (group, _) -> folder?.storage(group.name) ?: NoOpStorage() }

    /** Recovers, connects and serves. */
    suspend fun start() {
        driver.start(DaemonTransport())
        peers.start()
        api.start()
        log.info { "entry host ${self.id} of zone ${self.zone} serves on ${self.apiAddress}" }
    }

    /** Hands over leadership, finishes what is under way, cuts nobody off; bounded by the host's settings. */
    suspend fun shutDown() {
        driver.shutDown()
        api.stopAccepting(STOP_GRACE_MILLIS)
        close()
        log.info { "entry host ${self.id} has shut down" }
    }

    /** Stops at once, as if the process had been killed. */
    override fun close() {
        api.close()
        peers.close()
        driver.close()
        folder?.close()
    }

    private inner class Listener : PeerListener {
        override fun received(
            from: HostId,
            frame: PeerFrame,
        ) = driver.feed(HostEvent.PeerReceived(from, frame))

        override fun connected(
            to: HostId,
            count: Int,
        ) {
            metrics.peerConnected()
            if (count > 1) log.info { "${self.id}: connection to $to opened again, number $count" }
        }

        override fun refused(
            who: String,
            why: String,
        ) {
            metrics.peerRefused()
            log.warn { "${self.id}: peer $who refused: $why" }
            driver.feed(HostEvent.Refused("peer $who", why, System.currentTimeMillis()))
        }
    }

    private inner class DaemonTransport : HostTransport {
        override fun sendPeer(effect: HostEffect.SendPeer) = peers.send(effect.to, effect.frame)

        override fun sendExecutor(effect: HostEffect.SendExecutor) = executors.send(effect)

        override fun closeExecutor(effect: HostEffect.CloseExecutor) = executors.close(effect)
    }

    private companion object {
        const val STOP_GRACE_MILLIS = 1_000L
    }
}
