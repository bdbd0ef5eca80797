package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * What a worker says of itself, again and again.
 *
 * @property address where it takes orders, an IP number with a port.
 * @property rack name of its rack; empty when unknown.
 * @property labels everything that a step can require, the rack included.
 * @property clockMillis reading of its own steady clock when it wrote this.
 * @property sequence rises with each report of one life, so that a late one is told from a new one.
 */
@Serializable
data class WorkerReport(
    val life: WorkerIncarnation,
    val pool: String,
    val address: String,
    val zone: String,
    val draining: Boolean,
    val room: Resources,
    val labels: List<String>,
    val rack: String,
    val clockMillis: Long,
    val sequence: Long,
) {
    /** Whether this is newer than [other], a report of the same worker. */
    fun isNewerThan(other: WorkerReport): Boolean =
        life.born > other.life.born || (life.born == other.life.born && sequence > other.sequence)
}
