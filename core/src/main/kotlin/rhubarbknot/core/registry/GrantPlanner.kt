package rhubarbknot.core.registry

import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId

/**
 * A team's usage and demand in one zone, as reported by the zone's cell.
 *
 * @property held upper bound of what the cell still counts against its grant.
 * @property demand running plus waiting tasks and calls.
 */
data class ZoneDemand(
    val zone: ZoneId,
    val held: Int,
    val demand: Int,
)

/** Computes how a team's ceiling is distributed over zones. Pure functions; the registry applies the result. */
object GrantPlanner {
    /** Target of each zone for a new [ceiling]: a reduction is proportional, an increase is distributed evenly. */
    fun resize(
        grants: Map<ZoneId, Grant>,
        ceiling: Int,
    ): Map<ZoneId, Int> {
        val total = grants.values.sumOf { it.wanted }
        if (grants.isEmpty() || total == ceiling) return grants.mapValues { it.value.wanted }
        if (total < ceiling) return grow(grants, ceiling - total)
        val floors = grants.mapValues { (it.value.wanted.toLong() * ceiling / total).toInt() }
        var remainder = ceiling - floors.values.sum()
        return floors.mapValues { (zone, floor) ->
            if (remainder > 0 &&
                floor < grants.getValue(zone).wanted
            ) {
                floor + 1.also { remainder-- }
            } else {
                floor
            }
        }
    }

    private fun grow(
        grants: Map<ZoneId, Grant>,
        extra: Int,
    ): Map<ZoneId, Int> {
        val perZone = extra / grants.size
        var remainder = extra % grants.size
        return grants.mapValues { it.value.wanted + perZone + if (remainder-- > 0) 1 else 0 }
    }

    /** Moves that match [team]'s grants to its demand. Zones without a report keep their grants. */
    fun rebalance(
        team: TeamId,
        ceiling: Int,
        grants: Map<ZoneId, Grant>,
        demands: List<ZoneDemand>,
    ): List<GrantMove> {
        val reported = demands.filter { it.zone in grants }.associateBy { it.zone }
        val underGranted = reported.values.filter { it.demand > grants.getValue(it.zone).wanted }
        if (underGranted.isEmpty()) return emptyList()
        val unreportedGrants = grants.filterKeys { it !in reported }.values.sumOf { it.granted }
        val targets = maxMinFairSplit(reported.values.associate { it.zone to it.demand }, maxOf(0, ceiling - unreportedGrants))
        val moves = targets.filter { (zone, wanted) -> wanted != grants.getValue(zone).wanted }
        // Reductions come first: capacity that a zone returns is granted to the others in a later pass.
        return moves.entries
            .sortedWith(compareBy({ it.value - grants.getValue(it.key).wanted }, { it.key }))
            .map { GrantMove(team, it.key, it.value) }
    }

    /** Max-min fair split of [total] by [demands]; the surplus is distributed evenly as headroom. */
    internal fun maxMinFairSplit(
        demands: Map<ZoneId, Int>,
        total: Int,
    ): Map<ZoneId, Int> {
        val allocation = LinkedHashMap<ZoneId, Int>()
        var unallocated = total
        var zonesLeft = demands.size
        demands.entries.sortedWith(compareBy({ it.value }, { it.key })).forEach { (zone, demand) ->
            val share = minOf(demand, unallocated / zonesLeft)
            allocation[zone] = share
            unallocated -= share
            zonesLeft--
        }
        val perZone = unallocated / maxOf(1, allocation.size)
        var remainder = unallocated % maxOf(1, allocation.size)
        return allocation.mapValues { it.value + perZone + if (remainder-- > 0) 1 else 0 }
    }
}
