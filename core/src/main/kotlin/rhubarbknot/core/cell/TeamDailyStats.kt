package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.WaitReason

/** Counters of one team for one or more hours. */
@Serializable
class TeamTotals {
    var asked = 0L
    var ran = 0L
    var notRun = 0L
    var unknown = 0L
    var longestWaitMillis = 0L
    var retries = 0L
    var preempted = 0L

    /** Milliseconds that jobs waited, by reason; an interval is added when it ends. */
    val waited = LinkedHashMap<WaitReason, Long>()

    val waitedMillis: Long get() = waited.values.sum()

    fun addWait(interval: WaitInterval) {
        waited.merge(interval.reason, interval.millis, Long::plus)
    }

    fun add(other: TeamTotals) {
        asked += other.asked
        ran += other.ran
        notRun += other.notRun
        unknown += other.unknown
        longestWaitMillis = maxOf(longestWaitMillis, other.longestWaitMillis)
        retries += other.retries
        preempted += other.preempted
        other.waited.forEach { (reason, millis) -> waited.merge(reason, millis, Long::plus) }
    }
}

/** Counters of the hour that starts at [startMillis] of cell time. */
@Serializable
class TeamHourlyStats(
    val startMillis: Long,
    val totals: TeamTotals = TeamTotals(),
)

/** Hourly job counters of a team for the last [HOURS] hours of cell time. */
@Serializable
class TeamDailyStats {
    private val hours = ArrayList<TeamHourlyStats>()

    /** Counters of the hour that contains [now]. */
    fun at(now: Long): TeamTotals {
        val start = now - now % HOUR_MILLIS
        val last = hours.lastOrNull()
        if (last != null && last.startMillis >= start) return last.totals
        val next = TeamHourlyStats(start)
        hours.add(next)
        if (hours.size > HOURS) hours.removeAt(0)
        return next.totals
    }

    /** Counters of the [HOURS] hours up to [now]; hours without any event are omitted. */
    fun hours(now: Long): List<TeamHourlyStats> = hours.filter { it.startMillis > now - HOURS * HOUR_MILLIS }

    fun sum(now: Long): TeamTotals = TeamTotals().also { sum -> hours(now).forEach { sum.add(it.totals) } }

    companion object {
        const val HOURS = 24
        const val HOUR_MILLIS = 3_600_000L
    }
}
