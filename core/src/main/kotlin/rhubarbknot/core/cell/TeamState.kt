package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.table.TeamRow

/** Resources of one kind of executor: what a team uses, or what all executors have. */
@Serializable
class PoolUsage {
    var milliCpus = 0L
    var memoryMb = 0L
    var accelerators = 0L
    var slots = 0L

    /** Exponentially decaying average of the dominant share, as of [averagedAt]. */
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

    /** Largest fraction of [total] that is used, over all resources (as in dominant resource fairness). */
    fun dominantShare(total: PoolUsage): Double =
        maxOf(
            maxOf(fraction(milliCpus, total.milliCpus), fraction(memoryMb, total.memoryMb)),
            maxOf(fraction(accelerators, total.accelerators), fraction(slots, total.slots)),
        )

    private fun fraction(
        used: Long,
        capacity: Long,
    ): Double = if (capacity <= 0) 0.0 else used.toDouble() / capacity

    /** Updates [average] to time [now], given that the dominant share was [dominant] since the last update. */
    fun advance(
        dominant: Double,
        now: Long,
    ) {
        val elapsed = now - averagedAt
        if (elapsed <= 0) return
        val decay = StrictMath.exp(-elapsed.toDouble() / DECAY_MILLIS)
        average = average * decay + dominant * (1 - decay)
        averagedAt = now
    }

    private companion object {
        /** Time constant of the exponential decay. */
        const val DECAY_MILLIS = 600_000.0
    }
}

/** State of a team in one cell: its table row, its usage and the statistics of its jobs. */
@Serializable
class TeamState(
    val team: TeamId,
) {
    /** Null when the team is no longer in the table. */
    var row: TeamRow? = null
    var limit = 0

    /** Whether all zones together run more than the team's ceiling; nothing may start then. */
    var overCeiling = false
    var running = 0
    var urgentRunning = 0
    var waiting = 0
    var retryTokens = 0.0
    var retryAt = 0L
    val pools = LinkedHashMap<ExecutorKind, PoolUsage>()
    val timelines = LinkedHashMap<ExecutorKind, ReasonTimeline>()
    val day = TeamDailyStats()

    /** Maximum number of tasks that can run here until one ends. */
    val held: Int get() = if (overCeiling) running else maxOf(limit, running)

    /** Number of further tasks that may start; negative while more run than the limit allows. */
    val headroom: Int get() = if (overCeiling) 0 else limit - running

    fun pool(kind: ExecutorKind): PoolUsage = pools.getOrPut(kind) { PoolUsage() }

    /**
     * Takes one retry from the team's token bucket and returns the delay in milliseconds until a token is available for
     * it. The bucket refills continuously and holds the retries of one minute.
     */
    fun retryDelay(now: Long): Long {
        val perMinute = row?.retriesPerMinute ?: 0
        if (perMinute == 0) return NO_BUDGET_DELAY_MILLIS
        retryTokens = minOf(perMinute.toDouble(), retryTokens + (now - retryAt) * perMinute / MINUTE_MILLIS)
        retryAt = now
        retryTokens -= 1.0
        return if (retryTokens >= 0) 0 else (-retryTokens * MINUTE_MILLIS / perMinute).toLong()
    }

    private companion object {
        const val MINUTE_MILLIS = 60_000.0

        /** Delay of a retry if the team's row allows no retries. */
        const val NO_BUDGET_DELAY_MILLIS = 3_600_000L
    }
}
