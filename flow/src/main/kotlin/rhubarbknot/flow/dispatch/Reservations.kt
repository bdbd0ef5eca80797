package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/**
 * Room of a pool that is kept for a gang.
 *
 * @property milliCpus CPU of all its tasks, in thousandths of a core.
 * @property startsAt when the room is expected to be free.
 * @property isLogged whether the gang has waited for so long that the reservation is worth a line in the log.
 */
internal class GangReservation(
    val step: StepKey,
    val milliCpus: Long,
    val workers: Int,
    val startsAt: Long,
    val isLogged: Boolean,
)

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

    /** CPU that the steps need that wait for room in this pass, in thousandths of a core. */
    var waitingMilliCpus = 0L

    /** The reservation for the first gang in the order that waits for room; null if none does. */
    var first: GangReservation? = null
        private set

    /** Jobs for which workers take no starts of other jobs. */
    val heldFor = HashMap<WorkerRecord, String>()

    val isEmpty: Boolean get() = byWorker.isEmpty()

    /** Keeps [resources] of each worker for [reservation]. */
    fun add(
        reservation: GangReservation,
        resources: Map<WorkerRecord, Resources>,
    ) {
        resources.forEach { (worker, kept) -> byWorker.getOrPut(worker) { ArrayList() } += Reserved(kept, reservation.startsAt) }
        milliCpus += reservation.milliCpus
        if (first == null) first = reservation
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
