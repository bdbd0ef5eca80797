package rhubarbknot.flowd

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowNode
import rhubarbknot.flow.node.FlowRequest
import rhubarbknot.flow.node.NodeEffect
import rhubarbknot.flow.node.NodeEvent
import rhubarbknot.flow.node.NodeFrame
import rhubarbknot.flow.node.NodeHealth
import rhubarbknot.flow.node.NodeIdentity
import rhubarbknot.flow.node.NodeLogEvent
import rhubarbknot.quorum.disk.Storage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.math.abs

/** Sends calls to workers. */
fun interface WorkerClient {
    suspend fun call(
        call: WorkerCall,
        timeoutMillis: Long,
    ): WorkerReply
}

/** Asks the eligibility service which workers may run a step; returns their tickets by worker, or null on failure. */
fun interface EligibilityClient {
    suspend fun ask(
        step: String,
        workers: List<String>,
        timeoutMillis: Long,
    ): Map<String, String>?
}

/** Milliseconds that never decrease: the wall clock at construction plus the monotonic time since then. */
class MonotonicClock {
    private val startWall = System.currentTimeMillis()
    private val startNano = System.nanoTime()

    fun millis(): Long = startWall + (System.nanoTime() - startNano) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/**
 * Runs a [FlowNode] on three threads: one owns the node and passes it events, one handles network traffic, and one
 * writes and syncs to disk. Queued events are handled in one batch, so that they share log entries and syncs. A node without
 * storage only forwards: the traffic thread owns it too, so that a request does not pass from thread to thread.
 *
 * @param readSeeds reads the addresses of control nodes from the settings again; null when they can't be read.
 */
class NodeDriver(
    private val self: NodeIdentity,
    private val storage: Storage?,
    private val workers: (HttpClient) -> WorkerClient?,
    private val eligibility: (HttpClient) -> EligibilityClient?,
    private val log: EventLog,
    private val readSeeds: () -> Set<String>? = { null },
) : LinkListener {
    /** Thread of all sockets and their timers. */
    val network = NetworkLoop("traffic") { halt(EXIT_NETWORK_FAILURE, "network loop failed: ${it.stackTraceToString()}") }

    /** Scope of all code that uses sockets. */
    val trafficScope = CoroutineScope(SupervisorJob() + network)

    private val controlScope = CoroutineScope(SupervisorJob() + if (storage == null) network else threadDispatcher("control"))
    private val diskScope = CoroutineScope(SupervisorJob() + threadDispatcher("disk"))
    private val httpClient = HttpClient(network)
    private val workerClient = workers(httpClient)
    private val eligibilityClient = eligibility(httpClient)
    private val links =
        PeerLinks(self, trafficScope, network, this) { recordEvent(EventLogEntry(NodeLogEvent.CALL_FAILED, self.address, it)) }
    private val clock = MonotonicClock()
    private val clockComparison = ClockComparison()
    private val events = Channel<NodeEvent>(Channel.UNLIMITED)
    private val persistQueue = Channel<NodeEffect.Persist>(Channel.UNLIMITED)
    private val pendingAnswers = ConcurrentHashMap<Long, CompletableDeferred<FlowAnswer>>()
    private val requestNumbers = AtomicLong()
    private val shutdownComplete = CompletableDeferred<Unit>()

    /** Metrics of this process. */
    val metrics = NodeMetrics { log.droppedLines }

    private val turns = TurnMonitor(self.address, metrics::recordTurn, ::recordEvent)

    /** Last health reported by the node, updated on each tick. */
    @Volatile
    var health = NodeHealth(false, null, 0, 0, null)
        private set

    @Volatile
    private var shuttingDown = false

    @Volatile
    private var tickMillis = FlowNode.DEFAULT_TICK_MILLIS

    /** Whether the node accepts new callers. */
    val isReady: Boolean get() = health.ready && !shuttingDown

    /** Makes [isReady] false from now on, so that new callers use other nodes. */
    fun stopAcceptingCallers() {
        shuttingDown = true
    }

    /** Starts the node's loops and peer links; [createNode] builds the node from the current time. */
    suspend fun start(createNode: (Long) -> FlowNode) {
        val node = createNode(clock.millis())
        controlScope.launch { controlLoop(node) }
        diskScope.launch { diskLoop() }
        trafficScope.launch { links.listen() }
        trafficScope.launch {
            while (true) {
                events.send(NodeEvent.Tick)
                delay(tickMillis)
            }
        }
        recordEvent(EventLogEntry(NodeLogEvent.STARTED, self.address, "zone=${self.zone} replica=${self.replica}"))
    }

    /** Tells the node which addresses of control nodes the settings name now. */
    fun seedsChanged(seeds: Set<String>) {
        events.trySend(NodeEvent.SeedsChanged(seeds))
    }

    /** Writes [entry] to the event log and counts it. */
    fun recordEvent(entry: EventLogEntry) {
        metrics.recordEvent(entry)
        log.write(entry)
    }

    private fun updateHealth(now: NodeHealth) {
        health = now
        metrics.updateGauges(now)
    }

    /** Passes [request] to the node and waits for its answer. */
    suspend fun ask(request: FlowRequest): FlowAnswer {
        val number = requestNumbers.incrementAndGet()
        val answer = CompletableDeferred<FlowAnswer>()
        pendingAnswers[number] = answer
        val askedAt = System.nanoTime()
        events.trySend(NodeEvent.RequestReceived(number, request))
        return try {
            answer.await().also { metrics.recordRequest(request, it, System.nanoTime() - askedAt) }
        } finally {
            pendingAnswers.remove(number)
        }
    }

    /** Hands leadership over and returns once no work is in progress. */
    suspend fun shutDown() {
        recordEvent(EventLogEntry(NodeLogEvent.STOPPING, self.address))
        events.trySend(NodeEvent.Shutdown)
        shutdownComplete.await()
    }

    override fun onLinkUp(peer: NodeIdentity) {
        events.trySend(NodeEvent.LinkUp(peer))
    }

    override fun onLinkDown(address: String) {
        events.trySend(NodeEvent.LinkDown(address))
    }

    override fun onNetworkFailure(reason: String) {
        halt(EXIT_NETWORK_FAILURE, "network is unusable: $reason")
    }

    override fun onFrame(
        from: NodeIdentity,
        frame: NodeFrame,
    ) {
        events.trySend(NodeEvent.FrameReceived(from, frame))
    }

    private suspend fun controlLoop(node: FlowNode) {
        val batch = ArrayList<NodeEvent>()
        while (true) {
            batch.add(events.receive())
            while (batch.size < MAX_EVENT_BATCH) batch.add(events.tryReceive().getOrNull() ?: break)
            try {
                // Compared after the events have arrived: what arrived before a suspension may be answered as of then.
                clockStep()?.let { batch.add(0, it) }
                val startedAt = System.nanoTime()
                val now = clock.millis()
                val effects = node.handle(batch, now)
                if (NodeEvent.Tick in batch) updateHealth(node.health(now))
                tickMillis = node.tickMillis
                applyEffects(effects)
                turns.turnEnded(System.nanoTime() - startedAt, batch, effects.size, health.gauges)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                // After a broken invariant or OutOfMemoryError the state can't be trusted; the peers continue without this process.
                halt(EXIT_FATAL_ERROR, "control loop failed: ${e.stackTraceToString()}")
            }
            batch.clear()
        }
    }

    private fun clockStep(): NodeEvent? {
        val step = clockComparison.stepMillis()
        return if (abs(step) < MIN_CLOCK_STEP_MILLIS) null else NodeEvent.ClockStepped(step)
    }

    private fun applyEffects(effects: List<NodeEffect>) {
        val networkEffects = ArrayList<NodeEffect>()
        effects.forEach { effect ->
            when (effect) {
                is NodeEffect.Persist -> persistQueue.trySend(effect)
                is NodeEffect.Reply -> pendingAnswers[effect.number]?.complete(effect.answer)
                is NodeEffect.LogEvent -> recordEvent(effect.entry)
                NodeEffect.ReadSeeds -> diskScope.launch { readSeeds()?.let { seedsChanged(it) } }
                NodeEffect.ShutdownComplete -> shutdownComplete.complete(Unit)
                is NodeEffect.Send, is NodeEffect.Connect, is NodeEffect.CallWorker, is NodeEffect.AskEligibility ->
                    networkEffects += effect
            }
        }
        if (networkEffects.isNotEmpty()) trafficScope.launch { networkEffects.forEach { send(it) } }
    }

    private fun send(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.Send -> links.send(effect.to, effect.frame)
            is NodeEffect.Connect -> links.connect(effect.addresses)
            is NodeEffect.CallWorker -> trafficScope.launch { callWorker(effect) }
            is NodeEffect.AskEligibility -> trafficScope.launch { askEligibility(effect) }
            else -> Unit
        }
    }

    private suspend fun callWorker(effect: NodeEffect.CallWorker) {
        val sentAt = clock.millis()
        // Every call must produce a reply event; without one, its run or worker would wait forever.
        val reply =
            try {
                workerClient?.call(effect.call, effect.timeoutMillis)
            } catch (e: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            } catch (e: Exception) {
                recordEvent(EventLogEntry(NodeLogEvent.CALL_FAILED, effect.call.worker.id, e.toString()))
                null
            } ?: WorkerReply.NoResponse
        events.trySend(NodeEvent.WorkerReplied(effect.call, reply, sentAt))
    }

    private suspend fun askEligibility(effect: NodeEffect.AskEligibility) {
        val tickets =
            try {
                eligibilityClient?.ask(effect.step, effect.workers, effect.timeoutMillis)
            } catch (e: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            } catch (e: Exception) {
                recordEvent(EventLogEntry(NodeLogEvent.CALL_FAILED, effect.step, e.toString()))
                null
            }
        events.trySend(NodeEvent.EligibilityReplied(effect.askedBy, EligibilityReply(effect.number, tickets)))
    }

    private suspend fun diskLoop() {
        val writer =
            DiskWriter(storage, metrics::recordSync) { event, reason -> recordEvent(EventLogEntry(event, self.address, reason)) }
        try {
            writer.run(persistQueue) { events.trySend(NodeEvent.Persisted(it)) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            halt(EXIT_FATAL_ERROR, "disk writer failed: ${e.stackTraceToString()}")
        }
    }

    /**
     * Halts the process without running shutdown hooks. They wait for the threads that failed, so the process would
     * hang instead of being restarted.
     */
    private fun halt(
        code: Int,
        reason: String,
    ) {
        log.write(EventLogEntry(NodeLogEvent.FAILED, self.address, "code=$code $reason"))
        log.close()
        Runtime.getRuntime().halt(code)
    }

    private fun threadDispatcher(name: String): CoroutineDispatcher =
        Executors.newSingleThreadExecutor { Thread(it, name) }.asCoroutineDispatcher()

    private companion object {
        const val MAX_EVENT_BATCH = 1_024

        /** Above the rounding and slewing of clocks between two batches, and well below the lease of a leader. */
        const val MIN_CLOCK_STEP_MILLIS = 50L
        const val EXIT_FATAL_ERROR = 3
        const val EXIT_NETWORK_FAILURE = 4
    }
}
