package rhubarbknot.cli.bench

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import rhubarbknot.cli.demo.InProcessCluster
import rhubarbknot.cli.demo.OperatorClient
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.table.TeamRow
import rhubarbknot.daemon.MonotonicClock
import rhubarbknot.quorum.disk.FileStorage
import rhubarbknot.standins.EntryClient
import rhubarbknot.standins.InvariantMonitor
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong

/** Results of the replicated log benchmark. The property names are the names in the JSON output. */
@Serializable
data class LogResult(
    val replicas: Int,
    val seed: Long,
    val commitsPerSecond: Double,
    val commitP99Millis: Double,
    val baselineCommitsPerSecond: Double,
    val recoveryMillisPer100kEntries: Double,
    val failoverMillisP99: Long,
    val changeInForceP99Millis: Long,
    val idleBytesPerSecondPerHost: Double,
    val idleCpuPercent: Double,
    val processResidentMegabytesNineHosts: Long,
)

/** Commit rate, commit latency and recovery time of one load on a group of replicas. */
private data class CommitStats(
    val perSecond: Double,
    val p99Millis: Double,
    val recoveryMillisPer100k: Double,
)

/** Measures the replicated log over loopback with real disk syncs, and nine idle hosts. */
class LogBench(
    private val replicas: Int,
    private val seed: Long,
    private val progress: (String) -> Unit,
) {
    private val folder: Path = Files.createTempDirectory("rhubarbknot-bench")

    fun run(): LogResult =
        try {
            progress("commits, batched")
            val batched = commits(batching = true, window = WINDOW)
            progress("commits, one at a time")
            val unbatched = commits(batching = false, window = 1)
            progress("failover")
            val failover = failover()
            progress("nine hosts: changes in force, and rest")
            val nine = runBlocking { NineHostBench(seed).measure() }
            LogResult(
                replicas = replicas,
                seed = seed,
                commitsPerSecond = batched.perSecond,
                commitP99Millis = batched.p99Millis,
                baselineCommitsPerSecond = unbatched.perSecond,
                recoveryMillisPer100kEntries = batched.recoveryMillisPer100k,
                failoverMillisP99 = failover,
                changeInForceP99Millis = nine.changeP99Millis,
                idleBytesPerSecondPerHost = nine.idleBytesPerSecond,
                idleCpuPercent = nine.idleCpuPercent,
                processResidentMegabytesNineHosts = nine.residentMegabytes,
            )
        } finally {
            folder.toFile().deleteRecursively()
        }

    private fun leaderOf(logReplicas: Collection<LogReplica>): LogReplica {
        while (true) {
            logReplicas.firstOrNull { it.isLeader }?.let { return it }
            Thread.sleep(1)
        }
    }

    private fun commits(
        batching: Boolean,
        window: Int,
    ): CommitStats {
        val topology = LogReplica.topology(replicas)
        val sent = ConcurrentHashMap<Long, Long>()
        val credits = Semaphore(window)
        val committed = AtomicLong()
        val histogram = ConcurrentHistogram(3)
        val name = if (batching) "batched" else "plain"
        val logReplicas =
            topology.hosts.map { host ->
                LogReplica(host, topology, folder.resolve("$name-${host.id}"), batching) { replica, number ->
                    if (replica.isLeader) {
                        sent.remove(number)?.let { histogram.recordValue(System.nanoTime() - it) }
                        committed.incrementAndGet()
                        credits.release()
                    }
                }
            }
        logReplicas.forEach { it.start() }
        val leader = leaderOf(logReplicas)
        val begin = System.nanoTime()
        var measuredFrom = 0L
        var measuredCount = 0L
        var number = 0L
        while (System.nanoTime() - begin < (WARM_SECONDS + MEASURED_SECONDS) * NANOS) {
            if (measuredFrom == 0L && System.nanoTime() - begin > WARM_SECONDS * NANOS) {
                measuredFrom = System.nanoTime()
                measuredCount = committed.get()
                histogram.reset()
            }
            if (credits.tryAcquire(10, java.util.concurrent.TimeUnit.MILLISECONDS)) {
                sent[number] = System.nanoTime()
                leader.propose(number++)
            }
        }
        val rate = (committed.get() - measuredCount) * NANOS.toDouble() / (System.nanoTime() - measuredFrom)
        logReplicas.forEach { it.close() }
        val recovery = recovery(folder.resolve("$name-${topology.hosts.first().id}"))
        return CommitStats(rate, histogram.getValueAtPercentile(99.0) / NANOS_PER_MILLI, recovery)
    }

    private fun recovery(path: Path): Double {
        val begin = System.nanoTime()
        val entries = FileStorage(path).use { it.recover().entries.size }
        return (System.nanoTime() - begin) / NANOS_PER_MILLI * HUNDRED_THOUSAND / maxOf(1, entries)
    }

    /** Kills the leader repeatedly; returns the 99th percentile of milliseconds until the successor commits an entry. */
    private fun failover(): Long {
        val histogram = Histogram(3)
        val topology = LogReplica.topology(replicas)
        val commits = AtomicLong()
        val logReplicas = HashMap<Int, LogReplica>()

        fun startReplica(i: Int) {
            logReplicas[i] =
                LogReplica(
                    topology.hosts[i],
                    topology,
                    folder.resolve("failover-$i"),
                    true,
                ) { _, number -> commits.accumulateAndGet(number, ::maxOf) }
            logReplicas.getValue(i).start()
        }
        repeat(replicas) { startReplica(it) }
        leaderOf(logReplicas.values)
        Thread.sleep(SETTLE_MILLIS)
        repeat(KILLS) { round ->
            val killedLeader = logReplicas.entries.first { it.value.isLeader }
            logReplicas.remove(killedLeader.key)
            val begin = System.nanoTime()
            killedLeader.value.close()
            val marker = (round + 1) * 1_000L
            while (commits.get() < marker) {
                logReplicas.values.firstOrNull { it.isLeader }?.propose(marker)
                Thread.sleep(5)
            }
            histogram.recordValue(((System.nanoTime() - begin) / NANOS_PER_MILLI).toLong())
            startReplica(killedLeader.key)
            Thread.sleep(SETTLE_MILLIS)
        }
        logReplicas.values.forEach { it.close() }
        return histogram.getValueAtPercentile(99.0)
    }

    private companion object {
        const val WINDOW = 2_000
        const val WARM_SECONDS = 2L
        const val MEASURED_SECONDS = 5L
        const val NANOS = 1_000_000_000L
        const val NANOS_PER_MILLI = 1e6
        const val HUNDRED_THOUSAND = 100_000
        const val KILLS = 10
        const val SETTLE_MILLIS = 1_500L
    }
}

/** Measurements of nine hosts in one process. */
internal data class NineHostStats(
    val changeP99Millis: Long,
    val idleBytesPerSecond: Double,
    val idleCpuPercent: Double,
    val residentMegabytes: Long,
)

/** Runs nine entry daemons on loopback; measures how soon a change is in force and what idle hosts cost. */
internal class NineHostBench(
    private val seed: Long,
) {
    suspend fun measure(): NineHostStats {
        val clock = MonotonicClock()
        val http = EntryClient.newHttpClient()
        val cluster = InProcessCluster(seed, http, InvariantMonitor(clock::millis), clock::millis, endpointsPerZone = 0, workersPerZone = 0)
        return cluster.use {
            cluster.start()
            while (!cluster.isReady) delay(POLL_MILLIS)
            val changes = changes(OperatorClient(EntryClient(cluster.addresses, http), cluster.operatorToken))
            delay(QUIET_MILLIS)
            val bytes = cluster.sentBytes
            val cpu = ProcessStats.cpuNanos()
            val begin = System.nanoTime()
            delay(IDLE_MILLIS)
            val seconds = (System.nanoTime() - begin) / 1e9
            val hosts = cluster.topology.hosts.size
            val idleBytes = (cluster.sentBytes - bytes) / seconds / hosts
            val idleCpu = (ProcessStats.cpuNanos() - cpu) / 1e9 / seconds / hosts * 100
            NineHostStats(changes, idleBytes, idleCpu, ProcessStats.residentMegabytes())
        }
    }

    private suspend fun changes(operator: OperatorClient): Long {
        val histogram = Histogram(3)
        repeat(CHANGES + WARM_CHANGES) { number ->
            val begin = System.nanoTime()
            operator.applyTable(listOf(TeamRow(TeamId("team${number % 20}"), 1 + number, 100)))
            if (number >= WARM_CHANGES) histogram.recordValue((System.nanoTime() - begin) / 1_000_000)
        }
        return histogram.getValueAtPercentile(99.0)
    }

    private companion object {
        const val POLL_MILLIS = 50L
        const val QUIET_MILLIS = 3_000L
        const val IDLE_MILLIS = 10_000L
        const val CHANGES = 100
        const val WARM_CHANGES = 20
    }
}
