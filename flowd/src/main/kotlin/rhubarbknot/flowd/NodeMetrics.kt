package rhubarbknot.flowd

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowRequest
import rhubarbknot.flow.node.NodeHealth
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Counters and latency histograms of one process. Labels are names of events, kinds of request and reasons, of which
 * there are few; never ids.
 *
 * @param droppedLines lines of the decision log that were not written.
 */
class NodeMetrics(
    droppedLines: () -> Long,
) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val events = ConcurrentHashMap<String, Counter>()
    private val durations = ConcurrentHashMap<String, Timer>()
    private val requests = ConcurrentHashMap<String, Timer>()
    private val syncs = timer("rhubarbknot.log.sync")

    @Volatile
    private var gauges = emptyMap<String, Long>()

    init {
        FunctionCounter.builder("rhubarbknot.log.lines.dropped", droppedLines) { it().toDouble() }.register(registry)
    }

    /** A decision was noted. */
    fun noted(note: EventLogEntry) {
        val name = note.event.lowercase()
        events.computeIfAbsent(name) { Counter.builder("rhubarbknot.events").tag("event", it).register(registry) }.increment()
        val took = note.durationMillis ?: return
        durations.computeIfAbsent(name) { timer("rhubarbknot.event.duration", "event", it) }.record(Duration.ofMillis(maxOf(0, took)))
    }

    /** [request] got [answer] after [nanos] nanoseconds in this process. */
    fun answered(
        request: FlowRequest,
        answer: FlowAnswer,
        nanos: Long,
    ) {
        val kind = request.javaClass.simpleName.lowercase()
        val outcome = if (answer is FlowAnswer.Refused) answer.reason.name.lowercase() else answer.javaClass.simpleName.lowercase()
        val timer = requests.computeIfAbsent("$kind/$outcome") { timer("rhubarbknot.requests", "kind", kind, "outcome", outcome) }
        timer.record(Duration.ofNanos(nanos))
    }

    /** The disk took [nanos] nanoseconds to write and sync. */
    fun synced(nanos: Long) = syncs.record(Duration.ofNanos(nanos))

    /** What the node says of itself now. */
    fun observed(health: NodeHealth) {
        val next =
            health.gauges + ("ready" to if (health.ready) 1L else 0L) + ("open_requests" to health.openRequests.toLong()) +
                ("term" to health.term)
        val added = next.keys - gauges.keys
        gauges = next
        added.forEach { name -> Gauge.builder("rhubarbknot.$name") { gauges[name]?.toDouble() ?: 0.0 }.register(registry) }
    }

    /** All of it as text. */
    fun text(): String = registry.scrape()

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
