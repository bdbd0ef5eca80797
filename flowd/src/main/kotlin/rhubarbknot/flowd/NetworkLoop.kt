package rhubarbknot.flowd

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext

/**
 * One thread that runs coroutines, their timers and their non-blocking TCP sockets. A coroutine that waits for a socket or a timer
 * continues on the thread that has seen it, so that a message costs one wake-up of one thread.
 *
 * @param onFailure called when the thread ends because of an error; no coroutine of this dispatcher runs after that.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class NetworkLoop(
    name: String,
    private val onFailure: (Throwable) -> Unit = {},
) : CoroutineDispatcher(),
    Delay,
    AutoCloseable {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = LoopTimers(::execute)

    /** Whether the thread waits, or is about to, so that it must be woken up for a new task. */
    private val waiting = AtomicBoolean()

    @Volatile
    private var closed = false

    /** Number of times that this thread has stopped waiting for sockets, timers and tasks. */
    @Volatile
    var wakeUps = 0L
        private set

    private val thread = Thread(::run, name).also { it.isDaemon = true }

    init {
        thread.start()
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = execute(block)

    /** Runs [task] on this thread, after those that were passed earlier. */
    fun execute(task: Runnable) {
        tasks.add(task)
        wakeUp()
    }

    /** Opens a connection to [port] on the IP address [host]. Throws an IOException if that fails. */
    suspend fun connect(
        host: String,
        port: Int,
    ): TcpConnection {
        val channel = SocketChannel.open()
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            channel.configureBlocking(false)
            val readiness = SocketReadiness(channel, selector, ::wakeUp)
            if (!channel.connect(InetSocketAddress(host, port))) {
                readiness.await(SelectionKey.OP_CONNECT)
                channel.finishConnect()
            }
            return TcpConnection(channel, readiness)
        } catch (e: Throwable) {
            channel.close()
            wakeUp()
            throw e
        }
    }

    /** Listens on [port] of the IP address [host]. Throws an IOException if the address can't be bound. */
    fun listen(
        host: String,
        port: Int,
    ): TcpListener {
        val channel = ServerSocketChannel.open()
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            channel.bind(InetSocketAddress(host, port), BACKLOG)
            channel.configureBlocking(false)
            return TcpListener(channel, selector, ::wakeUp)
        } catch (e: Throwable) {
            channel.close()
            throw e
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = timers.schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = timers.schedule(timeMillis, block)

    /** Ends the thread. Sockets that are still open stay so, but nothing waits for them any more. */
    override fun close() {
        closed = true
        selector.wakeup()
    }

    private fun wakeUp() {
        if (Thread.currentThread() !== thread && waiting.compareAndSet(true, false)) selector.wakeup()
    }

    private fun run() {
        timers.ownedBy(Thread.currentThread())
        try {
            while (!closed) {
                runTasks()
                waitForWork()
                timers.runDue(System.nanoTime())
            }
        } catch (e: Throwable) {
            onFailure(e)
        } finally {
            selector.close()
        }
    }

    private fun runTasks() {
        repeat(MAX_TASKS_BEFORE_SOCKETS) { (tasks.poll() ?: return).run() }
    }

    private fun waitForWork() {
        waiting.set(true)
        val timeout = if (tasks.isEmpty()) timers.millisUntilNext(System.nanoTime()) else 0
        when {
            timeout == null -> selector.select(::socketReady)
            timeout > 0 -> selector.select(::socketReady, timeout)
            else -> selector.selectNow(::socketReady)
        }
        waiting.set(false)
        wakeUps++
    }

    private fun socketReady(key: SelectionKey) = (key.attachment() as SocketReadiness).ready()

    private companion object {
        const val MAX_TASKS_BEFORE_SOCKETS = 256

        /** Connections that wait to be accepted at most. */
        const val BACKLOG = 511
    }
}
