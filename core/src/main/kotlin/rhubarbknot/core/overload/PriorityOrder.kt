package rhubarbknot.core.overload

/**
 * The order for a pool that has room for its work in the long run: urgent queues first, and within a priority what can be on time, first
 * attempts, and the least slack. Work beyond a team's share and work without remaining value wait behind all others.
 */
object PriorityOrder : WaitingOrder {
    override fun rank(
        work: PendingWork,
        now: Long,
    ): WorkRank {
        val tier = work.tier(now)
        return WorkRank(
            if (tier >= Tier.BEYOND_SHARE) 1.0 else 0.0,
            work.priority.toDouble(),
            tier.ordinal.toDouble(),
            work.failures.toDouble(),
            work.crashes.toDouble(),
            work.latestStart.toDouble(),
        )
    }
}
