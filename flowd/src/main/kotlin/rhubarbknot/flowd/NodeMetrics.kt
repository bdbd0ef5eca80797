package rhubarbknot.flowd

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import rhubarbknot.flow.model.LoggedEvent
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowRequest
import rhubarbknot.flow.node.NodeHealth
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Counters and latency histograms of one process. Label values are event names, request kinds and refusal reasons,
 * never ids, so that the number of time series stays small.
 *
 * @param droppedLines returns the number of event log lines dropped so far.
 */
class NodeMetrics(
    droppedLines: () -> Long,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val eventCounters = ConcurrentHashMap<LoggedEvent, Counter>()
    private val timers = ConcurrentHashMap<LoggedEvent, Timer>()
    private val requestTimers = ConcurrentHashMap<String, Timer>()
    private val syncTimer = timer("rhubarbknot.log.sync")
    private val turnTimer = timer("rhubarbknot.control.turn")

    @Volatile
    private var gauges = emptyMap<String, Long>()

    init {
        FunctionCounter.builder("rhubarbknot.log.lines.dropped", droppedLines) { it().toDouble() }.register(registry)
    }

    /** Counts [entry] and records its duration, if it has one. */
    fun recordEvent(entry: EventLogEntry) {
        eventCounters.computeIfAbsent(entry.event) { eventCounter(it) }.increment()
        val millis = entry.durationMillis ?: return
        val timer = timers.computeIfAbsent(entry.event) { timer("rhubarbknot.event.duration", "event", it.name.lowercase()) }
        timer.record(Duration.ofMillis(maxOf(0, millis)))
    }

    /** Records that [request] was answered with [answer] after [nanos] nanoseconds in this process. */
    fun recordRequest(
        request: FlowRequest,
        answer: FlowAnswer,
        nanos: Long,
    ) {
        val kind = request.javaClass.simpleName.lowercase()
        val outcome = if (answer is FlowAnswer.Refused) answer.reason.name.lowercase() else answer.javaClass.simpleName.lowercase()
        val timer = requestTimers.computeIfAbsent("$kind/$outcome") { timer("rhubarbknot.requests", "kind", kind, "outcome", outcome) }
        timer.record(Duration.ofNanos(nanos))
    }

    /** Records a write and sync to disk that took [nanos] nanoseconds. */
    fun recordSync(nanos: Long) = syncTimer.record(Duration.ofNanos(nanos))

    /** Records a turn of the control thread that took [nanos] nanoseconds. */
    fun recordTurn(nanos: Long) = turnTimer.record(Duration.ofNanos(nanos))

    /** Updates the gauges from [health] and registers those that are new. */
    fun updateGauges(health: NodeHealth) {
        val updated =
            health.gauges + ("ready" to if (health.ready) 1L else 0L) + ("open_requests" to health.openRequests.toLong()) +
                ("term" to health.term)
        val added = updated.keys - gauges.keys
        gauges = updated
        added.forEach { name -> Gauge.builder("rhubarbknot.$name") { gauges[name]?.toDouble() ?: 0.0 }.register(registry) }
    }

    /** All metrics in the Prometheus text format. */
    fun text(): String = registry.scrape()

    private fun eventCounter(event: LoggedEvent): Counter =
        Counter.builder("rhubarbknot.events").tag("event", event.name.lowercase()).register(registry)

    private fun timer(
        name: String,
        vararg tags: String,
    ): Timer =
        Timer
            .builder(name)
            .tags(*tags)
            .serviceLevelObjectives(*BUCKETS_MILLIS.map { Duration.ofMillis(it) }.toTypedArray())
            .register(registry)

    private companion object {
        val BUCKETS_MILLIS = listOf(5L, 10, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
    }
}
