package rhubarbknot.host

import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.ZoneId

/** The share of a job placed in [zone], submitted as a separate job with id [localId]. */
data class ZonePart(
    val zone: ZoneId,
    val localId: String,
    val tasks: Int,
)

/**
 * Splits a job over zones, so that the loss of one zone stops only the part in that zone.
 *
 * The split depends only on the job's id, its number of tasks and the set of all zones, in service or not, so that a
 * resend through any entry host yields the same parts. A part in a zone that is out of service moves like any other job.
 */
object ZoneSpread {
    fun parts(
        localId: String,
        tasks: Int,
        zones: Collection<ZoneId>,
    ): List<ZonePart> {
        val rankedZones = zones.sortedByDescending { Codec.digest("${it.name}|$localId".toByteArray()) }
        return rankedZones
            .mapIndexed { i, zone -> ZonePart(zone, "${zone.name}.$localId", tasks / zones.size + if (i < tasks % zones.size) 1 else 0) }
            .filter { it.tasks > 0 }
    }
}
