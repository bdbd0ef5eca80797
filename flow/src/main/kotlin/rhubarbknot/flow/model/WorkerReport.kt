package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * Status report that a worker sends periodically.
 *
 * @property address IP address and port at which the worker accepts calls.
 * @property rack name of its rack; empty when unknown.
 * @property labels labels that a step can require, including the rack.
 * @property clockMillis reading of the worker's monotonic clock when the report was created.
 * @property sequence increases with each report of one incarnation, so that a delayed report is recognized as old.
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
    /** Whether this report is newer than [other], a report of the same worker. */
    fun isNewerThan(other: WorkerReport): Boolean =
        life.born > other.life.born || (life.born == other.life.born && sequence > other.sequence)
}
