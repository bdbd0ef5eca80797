package rhubarbknot.flow.dispatch

import java.util.TreeMap

/** Waiting work of one team with one priority in a pool, in cores times milliseconds, by the value that it can still have. */
internal class PoolBacklog {
    private val onTime = ExpiringSum()
    private val useful = ExpiringSum()

    /** All of it. */
    var coreMillis = 0L
        private set

    /** The part that could still start in time for its objective when [expire] was last called. */
    val onTimeCoreMillis: Long get() = onTime.sum

    /** The part that could still start in time to matter when [expire] was last called. */
    val usefulCoreMillis: Long get() = useful.sum
    val isEmpty: Boolean get() = coreMillis == 0L && useful.isEmpty

    /**
     * Adds [coreMillis], or removes it if negative, of work that meets its objective if it starts until [latestStart], and matters if it
     * starts until [latestUsefulStart].
     */
    fun add(
        coreMillis: Long,
        latestStart: Long,
        latestUsefulStart: Long,
    ) {
        this.coreMillis += coreMillis
        onTime.add(coreMillis, latestStart)
        useful.add(coreMillis, latestUsefulStart)
    }

    fun expire(now: Long) {
        onTime.expire(now)
        useful.expire(now)
    }
}

/** Sum of amounts, each of which counts until a time. */
private class ExpiringSum {
    private val byPeriod = TreeMap<Long, Long>()
    var sum = 0L
        private set
    val isEmpty: Boolean get() = byPeriod.isEmpty()

    fun add(
        amount: Long,
        until: Long,
    ) {
        sum += amount
        byPeriod.merge(until / PERIOD_MILLIS, amount) { a, b -> (a + b).takeIf { it != 0L } }
    }

    fun expire(now: Long) {
        while (byPeriod.isNotEmpty() && byPeriod.firstKey() < now / PERIOD_MILLIS) sum -= byPeriod.pollFirstEntry().value
    }

    private companion object {
        /** Amounts are counted together by time; this bounds how much later one expires. */
        const val PERIOD_MILLIS = 500L
    }
}
