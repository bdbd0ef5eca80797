package rhubarbknot.core.registry

import rhubarbknot.core.model.TeamId
import rhubarbknot.core.model.ZoneId

/**
 * What one cell would use of a team's ceiling.
 *
 * @property held the most it still counts against its grant.
 * @property demand running and waiting together.
 */
data class ZoneDemand(
    val zone: ZoneId,
    val held: Int,
    val demand: Int,
)

/** Decides where the parts of a ceiling should sit. Pure functions; the registry carries the result out. */
object GrantPlanner {
    /** What each zone should have when the ceiling becomes [ceiling]; shrinking keeps proportions, growth is spread evenly. */
    fun resize(
        grants: Map<ZoneId, Grant>,
        ceiling: Int,
    ): Map<ZoneId, Int> {
        val total = grants.values.sumOf { it.wanted }
        if (grants.isEmpty() || total == ceiling) return grants.mapValues { it.value.wanted }
        if (total < ceiling) return grow(grants, ceiling - total)
        val floors = grants.mapValues { (it.value.wanted.toLong() * ceiling / total).toInt() }
        var rest = ceiling - floors.values.sum()
        return floors.mapValues { (zone, floor) ->
            if (rest > 0 &&
                floor < grants.getValue(zone).wanted
            ) {
                floor + 1.also { rest-- }
            } else {
                floor
            }
        }
    }

    private fun grow(
        grants: Map<ZoneId, Grant>,
        extra: Int,
    ): Map<ZoneId, Int> {
        val each = extra / grants.size
        var rest = extra % grants.size
        return grants.mapValues { it.value.wanted + each + if (rest-- > 0) 1 else 0 }
    }

    /** Moves that bring [team]'s grants to where the demand is. Zones that reported nothing keep what they have. */
    fun rebalance(
        team: TeamId,
        ceiling: Int,
        grants: Map<ZoneId, Grant>,
        demands: List<ZoneDemand>,
    ): List<GrantMove> {
        val known = demands.filter { it.zone in grants }.associateBy { it.zone }
        val starved = known.values.filter { it.demand > grants.getValue(it.zone).wanted }
        if (starved.isEmpty()) return emptyList()
        val silent = grants.filterKeys { it !in known }.values.sumOf { it.granted }
        val target = fill(known.values.associate { it.zone to it.demand }, maxOf(0, ceiling - silent))
        val moves = target.filter { (zone, wanted) -> wanted != grants.getValue(zone).wanted }
        // Givers go first: what they give back is what the others get on a later pass.
        return moves.entries
            .sortedWith(compareBy({ it.value - grants.getValue(it.key).wanted }, { it.key }))
            .map { GrantMove(team, it.key, it.value) }
    }

    /** Max-min fair split of [total] by [demands], what is left over being spread evenly as room to grow. */
    internal fun fill(
        demands: Map<ZoneId, Int>,
        total: Int,
    ): Map<ZoneId, Int> {
        val out = LinkedHashMap<ZoneId, Int>()
        var left = total
        var open = demands.size
        demands.entries.sortedWith(compareBy({ it.value }, { it.key })).forEach { (zone, demand) ->
            val part = minOf(demand, left / open)
            out[zone] = part
            left -= part
            open--
        }
        val each = left / maxOf(1, out.size)
        var rest = left % maxOf(1, out.size)
        return out.mapValues { it.value + each + if (rest-- > 0) 1 else 0 }
    }
}
