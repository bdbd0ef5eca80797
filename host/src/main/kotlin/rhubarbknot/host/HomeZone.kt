package rhubarbknot.host

import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.ZoneId

/**
 * Derives the home zone of a job from its id alone, so that a resend through any entry host reaches the same cell. An id
 * prefixed with a zone's name and a dot selects that zone; any other id is assigned by rendezvous hashing.
 */
object HomeZone {
    fun of(
        job: JobId,
        zones: Collection<ZoneId>,
    ): ZoneId? {
        val named = zones.firstOrNull { job.local.startsWith("${it.name}.") }
        return named ?: zones.sorted().maxByOrNull { Codec.digest("${it.name}|$job".toByteArray()) }
    }
}
