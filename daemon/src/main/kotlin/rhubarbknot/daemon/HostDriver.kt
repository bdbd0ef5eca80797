package rhubarbknot.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import rhubarbknot.core.model.RequestId
import rhubarbknot.host.ApiRequest
import rhubarbknot.host.ApiResponse
import rhubarbknot.host.EntryHost
import rhubarbknot.host.GroupId
import rhubarbknot.host.HostConfig
import rhubarbknot.host.HostEffect
import rhubarbknot.host.HostEvent
import rhubarbknot.host.HostHealth
import rhubarbknot.quorum.disk.Storage
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** Outbound transport to which the driver hands frames for peers and executors. */
interface HostTransport {
    fun sendPeer(effect: HostEffect.SendPeer)

    fun sendExecutor(effect: HostEffect.SendExecutor)

    fun closeExecutor(effect: HostEffect.CloseExecutor)
}

/**
 * Runs an [EntryHost]. A control thread owns the host and passes events to it; a disk thread writes and syncs its log.
 * All other work runs on other threads. Pending events are handled in one batch, so that they share log entries and syncs.
 */
class HostDriver(
    private val config: HostConfig,
    private val storages: Map<GroupId, Storage>,
    private val clock: MonotonicClock,
    private val metrics: HostMetrics,
) : AutoCloseable {
    private val name = config.self.name
    private val controlThread = Executors.newSingleThreadExecutor { Thread(it, "$name-control") }
    private val diskThread = Executors.newSingleThreadExecutor { Thread(it, "$name-disk") }
    private val scope = CoroutineScope(SupervisorJob())
    private val events = Channel<HostEvent>(Channel.UNLIMITED)
    private val writes = Channel<HostEffect.Persist>(Channel.UNLIMITED)
    private val pendingResponses = ConcurrentHashMap<RequestId, CompletableDeferred<ApiResponse>>()
    private val requestCounter = AtomicLong()
    private val shutdownComplete = CompletableDeferred<Unit>()
    private lateinit var transport: HostTransport

    /** Health of the host as of the last tick, or null before the first one. */
    @Volatile
    var health: HostHealth? = null
        private set

    /** Recovers the persisted state and starts the control loop, the disk loop and the tick timer. */
    fun start(transport: HostTransport) {
        this.transport = transport
        val durable = storages.mapValues { it.value.recover() }
        val host = EntryHost(config, durable, clock.millis())
        scope.launch(controlThread.asCoroutineDispatcher()) { controlLoop(host) }
        scope.launch(diskThread.asCoroutineDispatcher()) { diskLoop() }
        scope.launch(kotlinx.coroutines.Dispatchers.Default) {
            while (true) {
                delay(TICK_MILLIS)
                events.send(HostEvent.Tick)
            }
        }
    }

    fun enqueue(event: HostEvent) {
        events.trySend(event)
    }

    /** Submits a request to the host and suspends until its response arrives. */
    suspend fun ask(request: ApiRequest): ApiResponse {
        val id = RequestId("$name-${clock.bootId}-${requestCounter.incrementAndGet()}")
        val response = CompletableDeferred<ApiResponse>()
        pendingResponses[id] = response
        events.send(HostEvent.RequestReceived(id, request))
        return try {
            response.await()
        } finally {
            pendingResponses.remove(id)
        }
    }

    private suspend fun controlLoop(host: EntryHost) {
        val batch = ArrayList<HostEvent>()
        while (true) {
            batch.add(events.receive())
            while (batch.size < MAX_BATCH_SIZE) batch.add(events.tryReceive().getOrNull() ?: break)
            handle(host, batch)
            batch.clear()
        }
    }

    private fun handle(
        host: EntryHost,
        batch: List<HostEvent>,
    ) {
        try {
            val startNanos = System.nanoTime()
            host.handle(batch, clock.millis()).forEach { execute(it) }
            if (batch.any { it == HostEvent.Tick }) health = host.health().also { metrics.observe(it) }
            metrics.recordControlStep(System.nanoTime() - startNanos, batch.size)
        } catch (e: RuntimeException) {
            // After an unexpected exception the in-memory state may violate its invariants, so this host stops handling events
            // and its peers continue without it.
            log.error(e) { "host $name stops: the control state may be inconsistent" }
            scope.cancel()
            shutdownComplete.complete(Unit)
        }
    }

    private fun execute(effect: HostEffect) {
        when (effect) {
            is HostEffect.SendPeer -> transport.sendPeer(effect)
            is HostEffect.Persist -> writes.trySend(effect)
            is HostEffect.Respond -> pendingResponses[effect.id]?.complete(effect.response)
            is HostEffect.SendExecutor -> transport.sendExecutor(effect)
            is HostEffect.CloseExecutor -> transport.closeExecutor(effect)
            HostEffect.ShutdownComplete -> shutdownComplete.complete(Unit)
        }
    }

    private suspend fun diskLoop() {
        val batch = ArrayList<HostEffect.Persist>()
        while (true) {
            batch.add(writes.receive())
            while (batch.size < MAX_BATCH_SIZE) batch.add(writes.tryReceive().getOrNull() ?: break)
            batch.groupBy { it.group }.forEach { (group, persists) -> write(group, persists) }
            metrics.recordSync(batch.size)
            batch.clear()
        }
    }

    private suspend fun write(
        group: GroupId,
        persists: List<HostEffect.Persist>,
    ) {
        val event =
            try {
                storages.getValue(group).write(persists.map { it.batch })
                HostEvent.Persisted(group, persists.last().batch.sequence)
            } catch (e: IOException) {
                log.error(e) { "$group on $name stops voting: writing its state failed" }
                HostEvent.PersistFailed(group, e.message ?: e.javaClass.simpleName)
            }
        events.send(event)
    }

    /** Transfers leadership and completes work in progress. Returns when the process may exit. */
    suspend fun shutDown() {
        events.send(HostEvent.Shutdown)
        shutdownComplete.await()
    }

    override fun close() {
        scope.cancel()
        controlThread.shutdownNow()
        diskThread.shutdownNow()
        diskThread.awaitTermination(CLOSE_TIMEOUT_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
        storages.values.forEach { it.close() }
        pendingResponses.values.forEach { it.cancel() }
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val MAX_BATCH_SIZE = 2_048
        const val CLOSE_TIMEOUT_SECONDS = 5L
    }
}
