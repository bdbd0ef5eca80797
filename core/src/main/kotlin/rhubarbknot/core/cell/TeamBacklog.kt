package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import java.util.TreeSet

/**
 * The waiting jobs of one team for one kind of executor, in a queue for urgent jobs and one for the others. Derived from
 * the jobs, so it is not part of a snapshot.
 */
class TeamBacklog(
    val team: TeamState,
    val kind: ExecutorKind,
    order: Comparator<Job>,
    /** Returns the rack of the executor in a slot. */
    val racks: (Int) -> String,
) {
    val urgent = TreeSet(order.thenBy { it.seq })
    val normal = TreeSet(order.thenBy { it.seq })
    var pendingTasks = 0

    val isEmpty: Boolean get() = urgent.isEmpty() && normal.isEmpty()

    fun queueOf(job: Job): TreeSet<Job> = if (job.spec.urgent) urgent else normal

    /** Last failed placement of the normal and the urgent queue; reset when that queue changes. */
    private val failedPlacements = arrayOfNulls<FailedPlacement>(2)

    fun failedPlacement(urgent: Boolean): FailedPlacement? = failedPlacements[if (urgent) 1 else 0]

    fun setFailedPlacement(
        urgent: Boolean,
        value: FailedPlacement?,
    ) {
        failedPlacements[if (urgent) 1 else 0] = value
    }

    fun clearFailedPlacement(job: Job) = setFailedPlacement(job.spec.urgent, null)

    /** Wait reasons over time, shared by all jobs of this backlog. */
    val timeline: ReasonTimeline get() = team.timelines.getOrPut(kind) { ReasonTimeline() }

    var reason: WaitReason? = null
    var sortKey = 0.0
}

/**
 * Records that the jobs of a queue did not fit at [generation] of the [FreeCapacityIndex].
 *
 * @property smallest a lower bound, in every dimension, of what each of these jobs needs.
 */
class FailedPlacement(
    var generation: Long,
    val smallest: Resources,
)
