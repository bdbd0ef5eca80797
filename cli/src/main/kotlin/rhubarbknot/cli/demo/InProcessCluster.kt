package rhubarbknot.cli.demo

import io.ktor.client.HttpClient
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.ZoneId
import rhubarbknot.daemon.DaemonConfig
import rhubarbknot.daemon.EntryDaemon
import rhubarbknot.host.HostConfig
import rhubarbknot.host.HostId
import rhubarbknot.host.HostInfo
import rhubarbknot.host.Topology
import rhubarbknot.standins.ExecutorClient
import rhubarbknot.standins.InvariantMonitor
import rhubarbknot.standins.SimulatedTaskRunner
import rhubarbknot.wire.LinkFilter
import rhubarbknot.wire.LinkSettings
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap

/**
 * Entry daemons and simulated endpoints and workers in one process on loopback; by default three zones with three
 * daemons each.
 */
class InProcessCluster(
    private val seed: Long,
    private val http: HttpClient,
    private val observer: InvariantMonitor,
    private val clock: () -> Long,
    zones: Map<String, Int> = ZONES,
    private val endpointsPerZone: Int = 3,
    private val workersPerZone: Int = 3,
    private val slowEvery: Int = 0,
) : AutoCloseable {
    val topology = Topology(zones.flatMap { (zone, count) -> (1..count).map { host(zone, it) } })
    val operatorToken = "demo-operator-token"
    private val folder: Path = Files.createTempDirectory("rhubarbknot-demo")
    private val isolatedZones: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val daemons = LinkedHashMap<HostId, EntryDaemon>()

    /** The simulated executors, by name. */
    val executors = LinkedHashMap<String, ExecutorClient>()

    private fun host(
        zone: String,
        number: Int,
    ): HostInfo = HostInfo(HostId("$zone$number"), ZoneId(zone), "127.0.0.1:${freePort()}", "127.0.0.1:${freePort()}")

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    /** API addresses of the running daemons. */
    val addresses: List<String> get() = topology.hosts.filter { it.id in daemons }.map { it.apiAddress }

    suspend fun start() {
        topology.hosts.forEach { daemons[it.id] = daemon(it).also { daemon -> daemon.start() } }
        topology.zones.forEach { zone ->
            repeat(endpointsPerZone) { executor(zone, "board-${zone.name}-$it", ExecutorKind.ENDPOINT, Resources(slots = SLOTS), "") }
            repeat(workersPerZone) { executor(zone, "worker-${zone.name}-$it", ExecutorKind.WORKER, WORKER, "rack-${it % RACKS}") }
        }
    }

    private fun daemon(info: HostInfo): EntryDaemon {
        val filter = LinkFilter { to -> (info.zone.name in isolatedZones) == (topology.host(to)?.zone?.name in isolatedZones) }
        return EntryDaemon(
            DaemonConfig(
                host = HostConfig(info.id, topology, seed = seed + info.id.name.hashCode()),
                data = folder.resolve(info.id.name),
                cluster = "demo",
                secret = "demo-cluster-secret",
                operatorToken = operatorToken,
                links = LinkSettings(filter = filter),
            ),
        )
    }

    private fun executor(
        zone: ZoneId,
        name: String,
        kind: ExecutorKind,
        capacity: Resources,
        rack: String,
    ) {
        val info = ExecutorInfo(ExecutorId(name), "$name-$seed", kind, capacity, rack)
        val addresses = topology.hostsOf(zone).map { it.apiAddress }
        // With [slowEvery] above 0, some endpoints take ten times the declared run time.
        val slow = slowEvery > 0 && kind == ExecutorKind.ENDPOINT && executors.size % slowEvery == 0
        val runner = SimulatedTaskRunner(info, zone.name, observer, if (slow) SLOWDOWN else 1.0)
        executors[name] = ExecutorClient(info, addresses, http, runner, clock).also { it.start() }
    }

    /** Total bytes that all daemons have sent to peers. */
    val sentBytes: Long get() = daemons.values.sumOf { it.sentBytes }

    /** Whether every zone has a leader that its hosts know. */
    val isReady: Boolean get() = daemons.values.all { it.driver.health?.isReady == true }

    /** Stops a daemon as if its process had been killed. */
    fun kill(host: HostId) {
        daemons.remove(host)?.close()
    }

    /** Shuts a daemon down as SIGTERM does. */
    suspend fun shutDown(host: HostId) {
        daemons.remove(host)?.shutDown()
    }

    fun cutOff(zone: String) {
        isolatedZones.add(zone)
    }

    fun reconnect(zone: String) {
        isolatedZones.remove(zone)
    }

    override fun close() {
        executors.values.forEach { it.close() }
        daemons.values.forEach { it.close() }
        folder.toFile().deleteRecursively()
    }

    companion object {
        val ZONES = mapOf("msaken" to 3, "kalaa" to 3, "jemmal" to 3)
        val WORKER = Resources(milliCpus = 8_000, memoryMb = 16_384)
        private const val SLOTS = 8
        private const val RACKS = 2
        private const val SLOWDOWN = 10.0
    }
}
