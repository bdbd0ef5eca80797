package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.table.TeamRow

/** What a team uses of one kind of executor. */
@Serializable
class PoolUsage {
    var milliCpus = 0L
    var memoryMb = 0L
    var accelerators = 0L
    var slots = 0L

    /** Dominant share of the pool, averaged with exponential decay, at [averagedAt]. */
    var average = 0.0
    var averagedAt = 0L

    fun add(
        need: Resources,
        sign: Int,
    ) {
        milliCpus += sign * need.milliCpus
        memoryMb += sign * need.memoryMb
        accelerators += sign * need.accelerators
        slots += sign * need.slots
    }

    /** The largest part of [total] that is used, over the dimensions. */
    fun dominantShare(total: PoolUsage): Double =
        maxOf(
            maxOf(part(milliCpus, total.milliCpus), part(memoryMb, total.memoryMb)),
            maxOf(part(accelerators, total.accelerators), part(slots, total.slots)),
        )

    private fun part(
        used: Long,
        of: Long,
    ): Double = if (of <= 0) 0.0 else used.toDouble() / of

    /** Moves [average] forward to [now], while [dominant] was the use. */
    fun advance(
        dominant: Double,
        now: Long,
    ) {
        val past = now - averagedAt
        if (past <= 0) return
        val keep = StrictMath.exp(-past.toDouble() / MEMORY_MILLIS)
        average = average * keep + dominant * (1 - keep)
        averagedAt = now
    }

    private companion object {
        /** How long past use counts. */
        const val MEMORY_MILLIS = 600_000.0
    }
}

/** A team in one cell: its row, what it uses, and what became of its jobs. */
@Serializable
class TeamState(
    val team: TeamId,
) {
    /** Null when the team is no longer in the table. */
    var row: TeamRow? = null
    var limit = 0

    /** Nothing may start: all zones together still hold more than the team's ceiling. */
    var overCeiling = false
    var running = 0
    var urgentRunning = 0
    var waiting = 0
    var retryTokens = 0.0
    var retryAt = 0L
    val pools = LinkedHashMap<ExecutorKind, PoolUsage>()
    val timelines = LinkedHashMap<ExecutorKind, ReasonTimeline>()
    val day = TeamDailyStats()

    /** The most that may run here before something ends. */
    val held: Int get() = if (overCeiling) running else maxOf(limit, running)

    /** How many more tasks may start. */
    val room: Int get() = if (overCeiling) 0 else limit - running

    fun pool(kind: ExecutorKind): PoolUsage = pools.getOrPut(kind) { PoolUsage() }

    /** Takes one retry from the budget, which refills evenly over a minute; returns how long to wait until it is covered. */
    fun retryDelay(now: Long): Long {
        val perMinute = row?.retriesPerMinute ?: 0
        if (perMinute == 0) return NO_RETRY_MILLIS
        retryTokens = minOf(perMinute.toDouble(), retryTokens + (now - retryAt) * perMinute / MINUTE_MILLIS)
        retryAt = now
        retryTokens -= 1.0
        return if (retryTokens >= 0) 0 else (-retryTokens * MINUTE_MILLIS / perMinute).toLong()
    }

    private companion object {
        const val MINUTE_MILLIS = 60_000.0

        /** Wait of a retry for a team whose row allows none. */
        const val NO_RETRY_MILLIS = 3_600_000L
    }
}
