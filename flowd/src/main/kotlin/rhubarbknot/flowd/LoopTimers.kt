package rhubarbknot.flowd

import kotlinx.coroutines.DisposableHandle
import java.util.TreeSet
import java.util.concurrent.atomic.AtomicLong

/**
 * Timers of a [NetworkLoop]. Its thread alone touches them: other threads pass their changes to it by [execute].
 */
internal class LoopTimers(
    private val execute: (Runnable) -> Unit,
) {
    private val pending = TreeSet<Timer>()
    private val numbers = AtomicLong()

    @Volatile
    private var owner: Thread? = null

    /** From now on, [thread] runs the timers. */
    fun ownedBy(thread: Thread) {
        owner = thread
    }

    /** Runs [action] in [delayMillis] milliseconds, unless the returned handle is disposed before. */
    fun schedule(
        delayMillis: Long,
        action: Runnable,
    ): DisposableHandle {
        val delayNanos = delayMillis.coerceIn(0, MAX_DELAY_MILLIS) * NANOS_PER_MILLI
        val timer = Timer(System.nanoTime() + delayNanos, numbers.incrementAndGet(), action)
        onOwner { pending.add(timer) }
        return timer
    }

    /** Milliseconds from [now] to the next timer, rounded up; null without timers. */
    fun millisUntilNext(now: Long): Long? {
        if (pending.isEmpty()) return null
        return maxOf(0, (pending.first().dueAtNanos - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
    }

    /** Runs all timers that are due at [now], in nanoseconds of the monotonic clock. */
    fun runDue(now: Long) {
        while (pending.isNotEmpty() && pending.first().dueAtNanos - now <= 0) pending.pollFirst()?.action?.run()
    }

    private fun onOwner(change: Runnable) {
        if (Thread.currentThread() === owner) change.run() else execute(change)
    }

    private inner class Timer(
        val dueAtNanos: Long,
        private val number: Long,
        val action: Runnable,
    ) : DisposableHandle,
        Comparable<Timer> {
        override fun dispose() = onOwner { pending.remove(this) }

        override fun compareTo(other: Timer): Int {
            val difference = dueAtNanos - other.dueAtNanos
            return if (difference != 0L) difference.compareTo(0) else number.compareTo(other.number)
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** A day: far from where the monotonic clock could overflow. */
        const val MAX_DELAY_MILLIS = 86_400_000L
    }
}
