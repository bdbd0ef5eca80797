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

/** Executes the tasks assigned to a simulated executor. */
interface TaskRunner {
    /** Runs [attempt] to completion and returns its report. The coroutine is cancelled when the task must stop. */
    suspend fun run(
        attempt: AttemptId,
        spec: JobSpec,
    ): AttemptReport

    /** Called before [attempt] starts to run on this executor. */
    fun started(
        attempt: AttemptId,
        spec: JobSpec,
    ) = Unit

    /** Called when [attempt] no longer runs on this executor. */
    fun stopped(attempt: AttemptId) = Unit
}

/** Simulated worker or endpoint: speaks the executor protocol over a WebSocket and runs tasks as coroutines. */
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
    private var outboundQueue = Channel<FromExecutor>(Channel.UNLIMITED)
    private var connection: Job? = null
    private var redirect: List<String> = emptyList()
    private val name = info.id.name

    fun start() {
        scope.launch { connectLoop() }
        scope.launch {
            while (isActive) {
                delay(TICK_MILLIS)
                runAgent { agent.tick(clock()) }
            }
        }
    }

    @Synchronized
    private fun runAgent(action: () -> List<AgentEffect>) = action().forEach { execute(it) }

    private fun execute(effect: AgentEffect) {
        when (effect) {
            is AgentEffect.Send -> outboundQueue.trySend(effect.frame)
            is AgentEffect.Run -> run(effect)
            is AgentEffect.Stop -> stop(effect)
            is AgentEffect.Terminate -> terminate(effect.attempt)
            is AgentEffect.Reconnect -> {
                redirect = effect.addresses
                connection?.cancel()
            }
        }
    }

    private fun run(effect: AgentEffect.Run) {
        runner.started(effect.attempt, effect.spec)
        // Registered before it starts: a task may end at once, and the end of an unregistered task is ignored.
        val task = scope.launch(start = CoroutineStart.LAZY) { finish(effect.attempt, runner.run(effect.attempt, effect.spec)) }
        tasks[effect.attempt] = task
        task.start()
    }

    private fun finish(
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        if (tasks.remove(attempt) == null) return
        runner.stopped(attempt)
        runAgent { agent.ended(report, clock()) }
    }

    private fun stop(effect: AgentEffect.Stop) {
        if (effect.mode == StopMode.THROTTLE) return
        tasks[effect.attempt]?.cancel()
        val state = if (effect.mode == StopMode.CHECKPOINT) AttemptState.CHECKPOINTED else AttemptState.KILLED
        scope.launch { finish(effect.attempt, AttemptReport(effect.attempt, state)) }
    }

    private fun terminate(attempt: AttemptId) {
        tasks.remove(attempt)?.cancel()
        runner.stopped(attempt)
    }

    private suspend fun connectLoop() {
        var addressIndex = 0
        while (scope.isActive) {
            val candidates = redirect.ifEmpty { addresses }
            redirect = emptyList()
            val address = candidates[addressIndex++ % candidates.size]
            val session = scope.launch { serve(address) }
            connection = session
            session.join()
            runAgent { agent.disconnected(clock()) }
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun serve(address: String) {
        try {
            http.webSocket("ws://$address/v1/executors") {
                val queue = Channel<FromExecutor>(Channel.UNLIMITED)
                switchOutboundQueue(queue)
                runAgent { agent.connected(clock()) }
                val writer = launch { for (frame in queue) send(Frame.Text(ExecutorCodec.encode(frame))) }
                for (frame in incoming) {
                    if (frame is Frame.Text) {
                        val message = ExecutorCodec.decodeToExecutor(frame.readText())
                        runAgent { agent.received(message, clock()) }
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

    private fun switchOutboundQueue(queue: Channel<FromExecutor>) {
        outboundQueue = queue
    }

    /** Stops accepting new tasks. */
    fun leave() = runAgent { agent.leave(clock()) }

    /** Whether no task is running and the end of every task has been recorded. */
    val isIdle: Boolean @Synchronized get() = agent.isIdle

    override fun close() {
        tasks.keys.forEach { runner.stopped(it) }
        scope.cancel()
    }

    private companion object {
        const val TICK_MILLIS = 100L
        const val RECONNECT_DELAY_MILLIS = 100L
    }
}
