package rhubarbknot.flow.dispatch

import rhubarbknot.core.overload.AgingGuard
import rhubarbknot.core.overload.DelayCostOrder
import rhubarbknot.core.overload.PoolLoad
import rhubarbknot.core.overload.PriorityOrder
import rhubarbknot.core.overload.WaitingOrder
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job

/**
 * Chooses the order of waiting work for each pool: by what a delay costs callers while the pool is oversubscribed and its waiting work
 * can't start soon, by priority otherwise.
 */
internal class PoolOrders(
    private val poolLoad: (pool: String) -> PoolLoad?,
    private val effects: EffectBuffer,
    private val state: FlowState,
) {
    private class Overload {
        val guard = AgingGuard(PASSED_OVER_LIMIT_MILLIS, AGED_PERIOD_MILLIS, AGED_HOLD_MILLIS)
        var order: DelayCostOrder? = null
    }

    private val overloads = HashMap<String, Overload>()

    /** Number of plans so far in which a pool's work was ordered by what its delay costs. */
    var plansByDelayCost = 0L
        private set

    /** Chooses the orders for a plan that begins at [now]. */
    fun update(now: Long) {
        val configuration = state.configuration ?: return
        configuration.pools.forEach { update(it.name, now) }
        overloads.keys.removeIf { configuration.pool(it) == null }
        if (overloads.values.any { it.order != null }) plansByDelayCost++
    }

    /** The order of [pool] in the current plan. */
    fun of(pool: String): WaitingOrder = overloads[pool]?.order ?: PriorityOrder

    fun isByDelayCost(pool: String): Boolean = overloads[pool]?.order != null

    /** Whether [job], which waits for [pool], was passed over for too long and goes first at [now]. */
    fun goesFirst(
        pool: String,
        job: Job,
        now: Long,
    ): Boolean {
        val overload = overloads[pool]?.takeIf { it.order != null } ?: return false
        return overload.guard.goesFirst(job.sequence, job.acceptedAtMillis, now)
    }

    private fun update(
        pool: String,
        now: Long,
    ) {
        val load = poolLoad(pool)?.takeIf { it.isOversubscribed }
        val drainMillis = load?.drainMillis(Int.MAX_VALUE) ?: 0
        val overload = overloads[pool]
        val isOverloaded = drainMillis >= if (overload?.order == null) FULL_MILLIS else RELIEVED_MILLIS
        if (isOverloaded != (overload?.order != null)) logChange(pool, isOverloaded, drainMillis)
        if (!isOverloaded) {
            overload?.order = null
            return
        }
        val current = overload ?: Overload().also { overloads[pool] = it }
        current.order = DelayCostOrder(drainMillis.coerceIn(DELAY_MILLIS))
        current.guard.beginPass(now) { state.nextStartableJob(it - 1)?.sequence == it }
    }

    private fun logChange(
        pool: String,
        isOverloaded: Boolean,
        drainMillis: Long,
    ) {
        val order = if (isOverloaded) "delay-cost" else "priority"
        effects.logEvent(DispatchEvent.ORDER_CHANGED, pool, "order=$order drain=${drainMillis}ms")
    }

    private companion object {
        /** Time to drain the waiting work from which on a pool counts as too full. */
        const val FULL_MILLIS = 1_000L

        /** The same below which it no longer does; the distance keeps the order from changing with each job. */
        const val RELIEVED_MILLIS = FULL_MILLIS / 2

        /** Delay of work that is passed over: more comes in before a pool that is just too full is relieved. */
        val DELAY_MILLIS = 5_000L..40_000L
        const val PASSED_OVER_LIMIT_MILLIS = 30_000L
        const val AGED_PERIOD_MILLIS = 5_000L

        /** A gang that goes first waits for the runs on the workers that it needs. */
        const val AGED_HOLD_MILLIS = 20_000L
    }
}
