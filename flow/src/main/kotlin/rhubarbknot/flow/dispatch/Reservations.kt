package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/** Resources and workers of a pool that later steps of a [PlanningPass] must leave to earlier ones. */
internal class Reservations {
    private class Reserved(
        val resources: Resources,
        val startsAt: Long,
    )

    private val byWorker = HashMap<WorkerRecord, ArrayList<Reserved>>()

    /** CPU reserved so far, in thousandths of a core. */
    var milliCpus = 0L
        private set

    /** Jobs for which workers take no starts of other jobs. */
    val heldFor = HashMap<WorkerRecord, String>()

    val isEmpty: Boolean get() = byWorker.isEmpty()

    /** Reserves [resources] on [worker] for a gang that is expected to start at [startsAt]. */
    fun add(
        worker: WorkerRecord,
        resources: Resources,
        startsAt: Long,
    ) {
        byWorker.getOrPut(worker) { ArrayList() } += Reserved(resources, startsAt)
        milliCpus += resources.milliCpus
    }

    /** Resources on [worker] that a task must not use that may run until [endsBy]. */
    fun before(
        worker: WorkerRecord,
        endsBy: Long,
    ): Resources =
        byWorker[worker].orEmpty().fold(Resources.NONE) { sum, reserved ->
            if (reserved.startsAt < endsBy) sum + reserved.resources else sum
        }
}
