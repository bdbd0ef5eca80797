package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.Resources

/** Scheduling status of an executor. */
@Serializable
enum class ExecutorStatus { ACTIVE, LEAVING, QUARANTINED, PROBATION }

/** State of a worker or an endpoint in its cell. */
@Serializable
class Executor(
    val slot: Int,
    var info: ExecutorInfo,
) {
    var status = ExecutorStatus.ACTIVE

    /** Time of the last change of [status]; a quarantine lasts from then on. */
    var statusAt = 0L

    /** Jobs of the failures since the last success; failures of several jobs indicate a faulty executor. */
    val failures = ArrayList<JobId>(0)
    var meanMillis = 0.0

    /** The job for which this executor is reserved. */
    var reservedFor: JobId? = null

    @Transient
    var free: Resources = info.capacity

    @Transient
    val running = ArrayList<Task>(2)

    /** Latest expected end of the running tasks; in the past if there are no estimates. */
    @Transient
    var busyUntil = 0L
        private set

    internal fun addTask(task: Task) {
        running.add(task)
        busyUntil = maxOf(busyUntil, task.expectedEnd)
    }

    internal fun removeTask(task: Task) {
        running.remove(task)
        if (task.expectedEnd == busyUntil) busyUntil = running.maxOfOrNull { it.expectedEnd } ?: 0
    }

    val takesWork: Boolean get() = status == ExecutorStatus.ACTIVE || (status == ExecutorStatus.PROBATION && running.isEmpty())
}
