package rhubarbknot.daemon

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import rhubarbknot.host.HostHealth
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference

/** Metrics that an entry host exposes on `/metrics`. */
class HostMetrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val controlStepTimer = Timer.builder("rhubarbknot.control.step").register(registry)
    private val eventCounter = Counter.builder("rhubarbknot.control.events").register(registry)
    private val syncCounter = Counter.builder("rhubarbknot.log.syncs").register(registry)
    private val batchCounter = Counter.builder("rhubarbknot.log.batches").register(registry)
    private val leaderChangeCounter = Counter.builder("rhubarbknot.leader.changes").register(registry)
    private val peerConnectionCounter = Counter.builder("rhubarbknot.peer.connections").register(registry)
    private val refusedPeerCounter = Counter.builder("rhubarbknot.peer.refused").register(registry)
    private val health = AtomicReference<HostHealth>()

    init {
        Gauge.builder("rhubarbknot.zone.lease.left.millis") { health.get()?.zoneLeaseLeftMillis ?: 0 }.register(registry)
        Gauge.builder("rhubarbknot.registry.version") { health.get()?.registryVersion ?: 0 }.register(registry)
        Gauge.builder("rhubarbknot.groups.led") { health.get()?.groups?.count { it.leads } ?: 0 }.register(registry)
    }

    fun recordControlStep(
        nanos: Long,
        eventCount: Int,
    ) {
        controlStepTimer.record(Duration.ofNanos(nanos))
        eventCounter.increment(eventCount.toDouble())
    }

    fun recordSync(batchCount: Int) {
        syncCounter.increment()
        batchCounter.increment(batchCount.toDouble())
    }

    fun observe(next: HostHealth) {
        val previousLeaders =
            health
                .getAndSet(next)
                ?.groups
                .orEmpty()
                .associate { it.group to it.leader }
        val changedGroups = next.groups.count { it.leader != null && previousLeaders[it.group] != it.leader }
        leaderChangeCounter.increment(changedGroups.toDouble())
    }

    fun recordPeerConnection() = peerConnectionCounter.increment()

    fun recordPeerRefusal() = refusedPeerCounter.increment()

    /** Records the duration of a caller's request, tagged with its outcome or refusal code. */
    fun recordRequest(
        code: String,
        nanos: Long,
    ) = Timer
        .builder("rhubarbknot.requests")
        .tag("code", code)
        .register(registry)
        .record(Duration.ofNanos(nanos))
}
