package rhubarbknot.standins

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.plugins.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.readText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.StopMode
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.host.AgentEffect
import rhubarbknot.host.ExecutorAgent
import rhubarbknot.host.FromExecutor
import rhubarbknot.wire.ExecutorCodec
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What a stand-in does with the tasks that it is given. */
interface TaskRunner {
    /** Runs [attempt] to its end and tells how it ended. Cancelled when the task must stop. */
    suspend fun run(
        attempt: AttemptId,
        spec: JobSpec,
    ): AttemptReport

    /** [attempt] has begun to run here. */
    fun started(
        attempt: AttemptId,
        spec: JobSpec,
    ) = Unit

    /** [attempt] runs here no longer. */
    fun stopped(attempt: AttemptId) = Unit
}

/** A worker or an endpoint: the executor's side of the protocol over a WebSocket, with tasks as coroutines. */
class ExecutorClient(
    info: ExecutorInfo,
    private val addresses: List<String>,
    private val http: HttpClient,
    private val runner: TaskRunner,
    private val clock: () -> Long,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob())
    private val agent = ExecutorAgent(info)
    private val tasks = ConcurrentHashMap<AttemptId, Job>()
    private var outgoing = Channel<FromExecutor>(Channel.UNLIMITED)
    private var connection: Job? = null
    private var redirect: List<String> = emptyList()
    private val name = info.id.name

    fun start() {
        scope.launch { connectLoop() }
        scope.launch {
            while (isActive) {
                delay(TICK_MILLIS)
                step { agent.tick(clock()) }
            }
        }
    }

    @Synchronized
    private fun step(action: () -> List<AgentEffect>) = action().forEach { carryOut(it) }

    private fun carryOut(effect: AgentEffect) {
        when (effect) {
            is AgentEffect.Send -> outgoing.trySend(effect.frame)
            is AgentEffect.Run -> run(effect)
            is AgentEffect.Stop -> stop(effect)
            is AgentEffect.Terminate -> abandon(effect.attempt)
            is AgentEffect.Reconnect -> {
                redirect = effect.addresses
                connection?.cancel()
            }
        }
    }

    private fun run(effect: AgentEffect.Run) {
        runner.started(effect.attempt, effect.spec)
        // Registered before it starts, or a task that ends at once would find no trace of itself.
        val task = scope.launch(start = CoroutineStart.LAZY) { end(effect.attempt, runner.run(effect.attempt, effect.spec)) }
        tasks[effect.attempt] = task
        task.start()
    }

    private fun end(
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        if (tasks.remove(attempt) == null) return
        runner.stopped(attempt)
        step { agent.ended(report, clock()) }
    }

    private fun stop(effect: AgentEffect.Stop) {
        if (effect.mode == StopMode.THROTTLE) return
        tasks[effect.attempt]?.cancel()
        val state = if (effect.mode == StopMode.CHECKPOINT) AttemptState.CHECKPOINTED else AttemptState.KILLED
        scope.launch { end(effect.attempt, AttemptReport(effect.attempt, state)) }
    }

    private fun abandon(attempt: AttemptId) {
        tasks.remove(attempt)?.cancel()
        runner.stopped(attempt)
    }

    private suspend fun connectLoop() {
        var turn = 0
        while (scope.isActive) {
            val wanted = redirect.ifEmpty { addresses }
            redirect = emptyList()
            val address = wanted[turn++ % wanted.size]
            val job = scope.launch { serve(address) }
            connection = job
            job.join()
            step { agent.disconnected(clock()) }
            delay(REDIAL_MILLIS)
        }
    }

    private suspend fun serve(address: String) {
        try {
            http.webSocket("ws://$address/v1/executors") {
                val queue = Channel<FromExecutor>(Channel.UNLIMITED)
                sendTo(queue)
                step { agent.connected(clock()) }
                val writer = launch { for (frame in queue) send(Frame.Text(ExecutorCodec.encode(frame))) }
                for (frame in incoming) {
                    if (frame is Frame.Text) {
                        val said = ExecutorCodec.decodeToExecutor(frame.readText())
                        step { agent.received(said, clock()) }
                    }
                }
                writer.cancel()
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.debug { "$name: connection to $address: ${e.message}" }
        }
    }

    private fun sendTo(queue: Channel<FromExecutor>) {
        outgoing = queue
    }

    /** Takes no new work from now on. */
    fun leave() = step { agent.leave(clock()) }

    /** Whether nothing runs and every end is recorded. */
    val isIdle: Boolean @Synchronized get() = agent.isIdle

    override fun close() {
        tasks.keys.forEach { runner.stopped(it) }
        scope.cancel()
    }

    private companion object {
        const val TICK_MILLIS = 100L
        const val REDIAL_MILLIS = 100L
    }
}
