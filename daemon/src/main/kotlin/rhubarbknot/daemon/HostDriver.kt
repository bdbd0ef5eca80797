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

/** Where the driver sends what the host wants sent. */
interface HostTransport {
    fun sendPeer(effect: HostEffect.SendPeer)

    fun sendExecutor(effect: HostEffect.SendExecutor)

    fun closeExecutor(effect: HostEffect.CloseExecutor)
}

/**
 * Runs an [EntryHost]: one thread owns it and feeds it events, another one writes and syncs, everything else happens
 * elsewhere. Events that wait are handled together, so they share log entries and syncs.
 */
class HostDriver(
    private val config: HostConfig,
    private val storages: Map<GroupId, Storage>,
    private val clock: MonotonicClock,
    private val metrics: HostMetrics,
) : AutoCloseable {
    private val name = config.self.name
    private val control = Executors.newSingleThreadExecutor { Thread(it, "$name-control") }
    private val disk = Executors.newSingleThreadExecutor { Thread(it, "$name-disk") }
    private val scope = CoroutineScope(SupervisorJob())
    private val events = Channel<HostEvent>(Channel.UNLIMITED)
    private val writes = Channel<HostEffect.Persist>(Channel.UNLIMITED)
    private val answers = ConcurrentHashMap<RequestId, CompletableDeferred<ApiResponse>>()
    private val requestNumber = AtomicLong()
    private val drained = CompletableDeferred<Unit>()
    private lateinit var outlet: HostTransport

    /** What the host said of itself at the last tick. */
    @Volatile
    var health: HostHealth? = null
        private set

    /** Recovers the state and starts both threads. */
    fun start(outlet: HostTransport) {
        this.outlet = outlet
        val durable = storages.mapValues { it.value.recover() }
        val host = EntryHost(config, durable, clock.millis())
        scope.launch(control.asCoroutineDispatcher()) { controlLoop(host) }
        scope.launch(disk.asCoroutineDispatcher()) { diskLoop() }
        scope.launch(kotlinx.coroutines.Dispatchers.Default) {
            while (true) {
                delay(TICK_MILLIS)
                events.send(HostEvent.Tick)
            }
        }
    }

    fun feed(event: HostEvent) {
        events.trySend(event)
    }

    /** Asks the host and waits for the one answer. */
    suspend fun ask(request: ApiRequest): ApiResponse {
        val id = RequestId("$name-${clock.bootId}-${requestNumber.incrementAndGet()}")
        val answer = CompletableDeferred<ApiResponse>()
        answers[id] = answer
        events.send(HostEvent.RequestReceived(id, request))
        return try {
            answer.await()
        } finally {
            answers.remove(id)
        }
    }

    private suspend fun controlLoop(host: EntryHost) {
        val batch = ArrayList<HostEvent>()
        while (true) {
            batch.add(events.receive())
            while (batch.size < MAX_BATCH) batch.add(events.tryReceive().getOrNull() ?: break)
            handle(host, batch)
            batch.clear()
        }
    }

    private fun handle(
        host: EntryHost,
        batch: List<HostEvent>,
    ) {
        try {
            val begin = System.nanoTime()
            host.handle(batch, clock.millis()).forEach { carryOut(it) }
            if (batch.any { it == HostEvent.Tick }) health = host.health().also { metrics.observe(it) }
            metrics.controlStep(System.nanoTime() - begin, batch.size)
        } catch (e: RuntimeException) {
            // A broken invariant must not be carried on with: the process stops, and its peers go on without it.
            log.error(e) { "host $name stops: the control state is not to be trusted" }
            scope.cancel()
            drained.complete(Unit)
        }
    }

    private fun carryOut(effect: HostEffect) {
        when (effect) {
            is HostEffect.SendPeer -> outlet.sendPeer(effect)
            is HostEffect.Persist -> writes.trySend(effect)
            is HostEffect.Respond -> answers[effect.id]?.complete(effect.response)
            is HostEffect.SendExecutor -> outlet.sendExecutor(effect)
            is HostEffect.CloseExecutor -> outlet.closeExecutor(effect)
            HostEffect.ShutdownComplete -> drained.complete(Unit)
        }
    }

    private suspend fun diskLoop() {
        val batch = ArrayList<HostEffect.Persist>()
        while (true) {
            batch.add(writes.receive())
            while (batch.size < MAX_BATCH) batch.add(writes.tryReceive().getOrNull() ?: break)
            batch.groupBy { it.group }.forEach { (group, persists) -> write(group, persists) }
            metrics.synced(batch.size)
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
                log.error(e) { "$group on $name stops voting: its state can't be written" }
                HostEvent.PersistFailed(group, e.message ?: e.javaClass.simpleName)
            }
        events.send(event)
    }

    /** Hands over and finishes; returns when the process may end. */
    suspend fun shutDown() {
        events.send(HostEvent.Shutdown)
        drained.await()
    }

    override fun close() {
        scope.cancel()
        control.shutdownNow()
        disk.shutdownNow()
        disk.awaitTermination(CLOSE_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
        storages.values.forEach { it.close() }
        answers.values.forEach { it.cancel() }
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val MAX_BATCH = 2_048
        const val CLOSE_SECONDS = 5L
    }
}
