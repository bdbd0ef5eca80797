package rhubarbknot.flowd

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
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

/** Carries out calls to workers. */
fun interface WorkerClient {
    suspend fun call(
        call: WorkerCall,
        timeoutMillis: Long,
    ): WorkerReply
}

/** Puts questions to the eligibility service; null when no answer came. */
fun interface EligibilityClient {
    suspend fun ask(
        step: String,
        workers: List<String>,
        timeoutMillis: Long,
    ): Map<String, String>?
}

/** Milliseconds that never go back: time of day at the start, then time that has passed. */
class MonotonicClock {
    private val startWall = System.currentTimeMillis()
    private val startNano = System.nanoTime()

    fun millis(): Long = startWall + (System.nanoTime() - startNano) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/**
 * Runs a [FlowNode]: one thread owns it and feeds it events, one carries its traffic, one writes and syncs. Events
 * that wait are handled together, so they share log entries and syncs.
 */
class NodeDriver(
    private val self: NodeIdentity,
    private val storage: Storage?,
    private val workers: (HttpClient) -> WorkerClient?,
    private val eligibility: (HttpClient) -> EligibilityClient?,
    private val log: EventLog,
) : LinkListener {
    private val control = Executors.newSingleThreadExecutor { Thread(it, "control") }
    private val traffic = Executors.newSingleThreadExecutor { Thread(it, "traffic") }.asCoroutineDispatcher()
    private val disk = Executors.newSingleThreadExecutor { Thread(it, "disk") }
    private val controlScope = CoroutineScope(SupervisorJob() + control.asCoroutineDispatcher())
    private val diskScope = CoroutineScope(SupervisorJob() + disk.asCoroutineDispatcher())

    /** Scope of everything that deals with sockets. */
    val trafficScope = CoroutineScope(SupervisorJob() + traffic)

    // Waits for sockets in a blocking call, so it must not share the thread of those it wakes.
    val selector = SelectorManager(Executors.newSingleThreadExecutor { Thread(it, "selector") }.asCoroutineDispatcher())
    private val caller = HttpClient(selector)
    private val workerClient = workers(caller)
    private val eligibilityClient = eligibility(caller)
    private val links =
        PeerLinks(self, trafficScope, selector, this) { note(EventLogEntry(NodeLogEvent.CALL_FAILED.name, self.address, it)) }
    private val clock = MonotonicClock()
    private val events = Channel<NodeEvent>(Channel.UNLIMITED)
    private val writes = Channel<NodeEffect.Persist>(Channel.UNLIMITED)
    private val answers = ConcurrentHashMap<Long, CompletableDeferred<FlowAnswer>>()
    private val numbers = AtomicLong()
    private val drained = CompletableDeferred<Unit>()

    /** Counters and histograms of this process. */
    val metrics = NodeMetrics { log.droppedLines }

    /** What the node said of itself last. */
    @Volatile
    var health = NodeHealth(false, null, 0, 0, null)
        private set

    @Volatile
    private var ending = false

    /** Whether new callers are welcome. */
    val isReady: Boolean get() = health.ready && !ending

    /** Sends new callers elsewhere from now on. */
    fun announceEnd() {
        ending = true
    }

    /** Starts threads and links; [make] builds the node, with the time to start from. */
    suspend fun start(make: (Long) -> FlowNode) {
        val node = make(clock.millis())
        controlScope.launch { controlLoop(node) }
        diskScope.launch { diskLoop() }
        trafficScope.launch { links.listen() }
        trafficScope.launch {
            while (true) {
                events.send(NodeEvent.Tick)
                delay(TICK_MILLIS)
            }
        }
        note(EventLogEntry(NodeLogEvent.STARTED.name, self.address, "zone=${self.zone} replica=${self.replica}"))
    }

    /** Writes [note] to the decision log and counts it. */
    fun note(note: EventLogEntry) {
        metrics.noted(note)
        log.write(note)
    }

    private fun observe(now: NodeHealth) {
        health = now
        metrics.observed(now)
    }

    /** Asks the system and waits for the one answer. */
    suspend fun ask(request: FlowRequest): FlowAnswer {
        val number = numbers.incrementAndGet()
        val answer = CompletableDeferred<FlowAnswer>()
        answers[number] = answer
        val askedAt = System.nanoTime()
        events.trySend(NodeEvent.RequestReceived(number, request))
        return try {
            answer.await().also { metrics.answered(request, it, System.nanoTime() - askedAt) }
        } finally {
            answers.remove(number)
        }
    }

    /** Hands over and returns when nothing is under way any more. */
    suspend fun shutDown() {
        note(EventLogEntry(NodeLogEvent.STOPPING.name, self.address))
        events.trySend(NodeEvent.Shutdown)
        drained.await()
    }

    override fun up(peer: NodeIdentity) {
        events.trySend(NodeEvent.LinkUp(peer))
    }

    override fun down(address: String) {
        events.trySend(NodeEvent.LinkDown(address))
    }

    override fun broken(why: String) {
        end(EXIT_NETWORK, "the network can't be used any more: $why")
    }

    override fun received(
        from: NodeIdentity,
        frame: NodeFrame,
    ) {
        events.trySend(NodeEvent.FrameReceived(from, frame))
    }

    private suspend fun controlLoop(node: FlowNode) {
        val batch = ArrayList<NodeEvent>()
        while (true) {
            batch.add(events.receive())
            while (batch.size < MAX_BATCH) batch.add(events.tryReceive().getOrNull() ?: break)
            try {
                val now = clock.millis()
                val effects = node.handle(batch, now)
                if (NodeEvent.Tick in batch) observe(node.health(now))
                carryOut(effects)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                // A broken invariant or a lack of memory must not be carried on with: its peers go on without this process.
                end(EXIT_BROKEN, "control state is not to be trusted: ${e.stackTraceToString()}")
            }
            batch.clear()
        }
    }

    private fun carryOut(effects: List<NodeEffect>) {
        val outward = ArrayList<NodeEffect>()
        effects.forEach { effect ->
            when (effect) {
                is NodeEffect.Persist -> writes.trySend(effect)
                is NodeEffect.Reply -> answers[effect.number]?.complete(effect.answer)
                is NodeEffect.LogEvent -> note(effect.entry)
                NodeEffect.ShutdownComplete -> drained.complete(Unit)
                is NodeEffect.Send, is NodeEffect.Connect, is NodeEffect.CallWorker, is NodeEffect.AskEligibility -> outward += effect
            }
        }
        if (outward.isNotEmpty()) trafficScope.launch { outward.forEach { send(it) } }
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
        // A call that never came to an answer would keep its run or its worker waiting for good.
        val reply =
            try {
                workerClient?.call(effect.call, effect.timeoutMillis)
            } catch (e: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            } catch (e: RuntimeException) {
                note(EventLogEntry(NodeLogEvent.CALL_FAILED.name, effect.call.worker.id, e.toString()))
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
            } catch (e: RuntimeException) {
                note(EventLogEntry(NodeLogEvent.CALL_FAILED.name, effect.step, e.toString()))
                null
            }
        events.trySend(NodeEvent.EligibilityReplied(effect.askedBy, EligibilityReply(effect.number, tickets)))
    }

    private suspend fun diskLoop() {
        val writer = DiskWriter(storage, metrics::synced) { event, why -> note(EventLogEntry(event.name, self.address, why)) }
        try {
            writer.run(writes) { events.trySend(NodeEvent.Persisted(it)) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            end(EXIT_BROKEN, "the log can't be written: ${e.stackTraceToString()}")
        }
    }

    /**
     * Ends the process at once. Shutdown hooks are left out: they wait for the very threads that can't go on, so that
     * the process would stand for good in place of being started anew.
     */
    private fun end(
        code: Int,
        why: String,
    ) {
        log.write(EventLogEntry(NodeLogEvent.FAILED.name, self.address, "code=$code $why"))
        log.close()
        Runtime.getRuntime().halt(code)
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val MAX_BATCH = 1_024
        const val EXIT_BROKEN = 3
        const val EXIT_NETWORK = 4
    }
}
