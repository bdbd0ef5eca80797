package rhubarbknot.cli.bench

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.HdrHistogram.ConcurrentHistogram
import rhubarbknot.cli.demo.InProcessCluster
import rhubarbknot.cli.demo.OperatorClient
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.table.TeamRow
import rhubarbknot.daemon.MonotonicClock
import rhubarbknot.standins.EntryClient
import rhubarbknot.standins.InvariantMonitor
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicLong

/**
 * Results of the end-to-end benchmark. The property names are the names in the JSON output. Client, entry host and
 * simulated executors share one process.
 */
@Serializable
data class PathResult(
    val deployment: String,
    val endpoints: Int,
    val seed: Long,
    val callsPerSecond: Double,
    val jobsPerSecond: Double,
    val directLatencyP50Micros: Double,
    val directLatencyP99Micros: Double,
    val addedLatencyP50Micros: Double,
    val addedLatencyP99Micros: Double,
    val pacedCallsPerSecond: Double,
    val shiftCallWaitP99Millis: Long,
    val shiftCallWaitP99MillisNoneSlow: Long,
    val residentMegabytesIdle: Long,
    val residentMegabytesLoaded: Long,
)

/** Rate and latencies of one load. */
private class LoadStats(
    val perSecond: Double,
    val latency: ConcurrentHistogram,
)

/** Measures calls and jobs through one entry host over real sockets on loopback. */
class PathBench(
    private val deployment: String,
    private val endpoints: Int,
    private val seed: Long,
    private val progress: (String) -> Unit,
) {
    private val clock = MonotonicClock()
    private val http = EntryClient.newHttpClient()

    /** Generates the load: the JDK client needs fewer resources than the client of the simulated executors. */
    private val loadClient: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val lastCallId = AtomicLong()

    suspend fun run(): PathResult =
        withContext(Dispatchers.Default) {
            val direct = direct()
            val main = withCluster(slowEvery = 0) { measure(it, direct) }
            val slowedWait =
                withCluster(slowEvery = SLOW_EVERY) { shiftCallP99(it) }
            http.close()
            main.copy(shiftCallWaitP99Millis = slowedWait)
        }

    private class Target(
        val address: String,
        val key: String,
    )

    private suspend fun <T> withCluster(
        slowEvery: Int,
        use: suspend (Target) -> T,
    ): T {
        val cluster =
            InProcessCluster(
                seed + slowEvery,
                http,
                InvariantMonitor(clock::millis),
                clock::millis,
                zones = mapOf("one" to 1),
                endpointsPerZone = endpoints,
                workersPerZone = WORKERS,
                slowEvery = slowEvery,
            )
        return cluster.use {
            cluster.start()
            while (!cluster.isReady) delay(POLL_MILLIS)
            val operator = OperatorClient(EntryClient(cluster.addresses, http), cluster.operatorToken)
            operator.applyTable(listOf(TeamRow(TeamId("crew"), 1, CEILING)))
            val key = operator.issueKey("k", "crew")
            delay(JOIN_MILLIS)
            use(Target(cluster.addresses.first(), key))
        }
    }

    private suspend fun measure(
        target: Target,
        direct: LoadStats,
    ): PathResult {
        val idle = ProcessStats.residentMegabytes()
        progress("warming up")
        closedLoop(target, CONCURRENCY, WARM_MILLIS, CALL_FIELDS)
        progress("calls as fast as they go")
        val calls = closedLoop(target, CONCURRENCY, LOAD_MILLIS, CALL_FIELDS)
        progress("calls at a paced rate")
        val paced = openLoop(target.address, target.key, PACED_RATE, CALL_FIELDS)
        progress("jobs as fast as they go")
        val jobs = closedLoop(target, CONCURRENCY, LOAD_MILLIS, JOB_FIELDS)
        val loaded = ProcessStats.residentMegabytes()
        progress("shift-calls, no endpoint slowed")
        val waitNoneSlow = shiftCallP99(target)
        return PathResult(
            deployment = deployment,
            endpoints = endpoints,
            seed = seed,
            callsPerSecond = calls.perSecond,
            jobsPerSecond = jobs.perSecond,
            directLatencyP50Micros = micros(direct, 50.0),
            directLatencyP99Micros = micros(direct, 99.0),
            addedLatencyP50Micros = micros(paced, 50.0) - micros(direct, 50.0),
            addedLatencyP99Micros = micros(paced, 99.0) - micros(direct, 99.0),
            pacedCallsPerSecond = paced.perSecond,
            shiftCallWaitP99Millis = 0,
            shiftCallWaitP99MillisNoneSlow = waitNoneSlow,
            residentMegabytesIdle = idle,
            residentMegabytesLoaded = loaded,
        )
    }

    /** 99th percentile of the milliseconds until a shift-call of 20 ms is answered. */
    private suspend fun shiftCallP99(target: Target): Long {
        openLoop(target.address, target.key, SLOW_RATE, SHIFT_FIELDS, WARM_MILLIS / 2)
        val stats = openLoop(target.address, target.key, SLOW_RATE, SHIFT_FIELDS)
        return stats.latency.getValueAtPercentile(99.0) / NANOS_PER_MILLI
    }

    private fun micros(
        stats: LoadStats,
        percentile: Double,
    ) = stats.latency.getValueAtPercentile(percentile) / NANOS_PER_MICRO

    /** Measures calls to a minimal HTTP server without an entry host, as the baseline. */
    private suspend fun direct(): LoadStats {
        progress("direct calls to a minimal server")
        val port = ServerSocket(0).use { it.localPort }
        val server =
            embeddedServer(CIO, port = port, host = "127.0.0.1") {
                routing { post("/v1/jobs") { call.respondText("""{"answer":"${call.receiveText().length}"}""") } }
            }
        server.start(wait = false)
        openLoop("127.0.0.1:$port", "", PACED_RATE, CALL_FIELDS, WARM_MILLIS)
        return openLoop("127.0.0.1:$port", "", PACED_RATE, CALL_FIELDS).also { server.stop(0, POLL_MILLIS) }
    }

    private suspend fun closedLoop(
        target: Target,
        concurrency: Int,
        millis: Long,
        fields: String,
    ): LoadStats =
        coroutineScope {
            val recorder = LatencyRecorder()
            val begin = System.nanoTime()
            val until = begin + millis * NANOS_PER_MILLI
            (1..concurrency)
                .map {
                    launch { while (System.nanoTime() < until) recorder.time { call(loadClient, target.address, target.key, fields) } }
                }.joinAll()
            recorder.stats(System.nanoTime() - begin)
        }

    /** Open-loop load: sends calls at a fixed rate regardless of outstanding answers, up to [MAX_IN_FLIGHT] at once. */
    private suspend fun openLoop(
        address: String,
        key: String,
        rate: Int,
        fields: String,
        millis: Long = LOAD_MILLIS,
    ): LoadStats =
        coroutineScope {
            val recorder = LatencyRecorder()
            val begin = System.nanoTime()
            val jobs = ArrayList<Job>()
            val inFlight = Semaphore(MAX_IN_FLIGHT)
            var sent = 0
            while (System.nanoTime() - begin < millis * NANOS_PER_MILLI) {
                val due = ((System.nanoTime() - begin) * rate / NANOS_PER_SECOND).toInt()
                while (sent < due) {
                    sent++
                    inFlight.acquire()
                    jobs +=
                        launch {
                            try {
                                recorder.time { call(loadClient, address, key, fields) }
                            } finally {
                                inFlight.release()
                            }
                        }
                }
                delay(1)
            }
            jobs.joinAll()
            recorder.stats(System.nanoTime() - begin)
        }

    private suspend fun call(
        client: HttpClient,
        address: String,
        key: String,
        fields: String,
    ): String {
        val id = "b${lastCallId.incrementAndGet()}"
        val body = """{"queue":"crew","id":"$id","waitMillis":10000,$fields,"payload":"$id"}"""
        val request =
            HttpRequest
                .newBuilder(URI.create("http://$address/v1/jobs"))
                .header("Authorization", "Bearer $key")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).await().body()
    }

    private class LatencyRecorder {
        private val latency = ConcurrentHistogram(3)

        suspend fun time(call: suspend () -> String) {
            val begin = System.nanoTime()
            val body = call()
            latency.recordValue(System.nanoTime() - begin)
            val reply = Json.parseToJsonElement(body).jsonObject
            check("answer" in reply) { "unexpected answer $body" }
        }

        fun stats(nanos: Long) = LoadStats(latency.totalCount * NANOS_PER_SECOND.toDouble() / nanos, latency)
    }

    private companion object {
        const val CALL_FIELDS = """"kind":"call","idempotent":false"""
        const val SHIFT_FIELDS = """"kind":"call","idempotent":false,"urgent":true,"expectedRunMillis":20"""
        const val JOB_FIELDS = """"kind":"batch","processors":0.01"""
        const val WORKERS = 4
        const val CEILING = 100_000
        const val CONCURRENCY = 128
        const val MAX_IN_FLIGHT = 512
        const val WARM_MILLIS = 10_000L
        const val LOAD_MILLIS = 6_000L
        const val JOIN_MILLIS = 1_500L
        const val POLL_MILLIS = 50L
        const val PACED_RATE = 2_500
        const val SLOW_RATE = 400
        const val SLOW_EVERY = 8
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MICRO = 1e3
    }
}
