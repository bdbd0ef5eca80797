package rhubarbknot.core.cell

import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import java.util.TreeSet

/** The waiting jobs, urgent ones apart, of one team for one kind of executor. Derived from the jobs, so never part of a snapshot. */
class TeamBacklog(
    val team: TeamState,
    val kind: ExecutorKind,
    order: Comparator<Job>,
    /** Rack of the executor in a slot. */
    val racks: (Int) -> String,
) {
    val urgent = TreeSet(order.thenBy { it.seq })
    val normal = TreeSet(order.thenBy { it.seq })
    var pendingTasks = 0

    val isEmpty: Boolean get() = urgent.isEmpty() && normal.isEmpty()

    fun queueOf(job: Job): TreeSet<Job> = if (job.spec.urgent) urgent else normal

    /** What was tried of the two queues and did not fit, as long as the queues have not changed. */
    private val tried = arrayOfNulls<FailedPlacement>(2)

    fun tried(urgent: Boolean): FailedPlacement? = tried[if (urgent) 1 else 0]

    fun setTried(
        urgent: Boolean,
        value: FailedPlacement?,
    ) {
        tried[if (urgent) 1 else 0] = value
    }

    fun forgetTried(job: Job) = setTried(job.spec.urgent, null)

    /** Reasons as they changed; those of one lane are shared by all its jobs. */
    val timeline: ReasonTimeline get() = team.timelines.getOrPut(kind) { ReasonTimeline() }

    var reason: WaitReason? = null
    var key = 0.0
}

/**
 * Jobs of a lane that did not fit at [generation] of the free index.
 *
 * @property smallest less than or equal to what each of them needs, in every dimension.
 */
class FailedPlacement(
    var generation: Long,
    val smallest: Resources,
)
