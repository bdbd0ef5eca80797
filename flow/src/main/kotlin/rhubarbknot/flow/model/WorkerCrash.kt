package rhubarbknot.flow.model

import kotlinx.serialization.Serializable

/**
 * A crash of a worker and the runs that it ended, by how likely each of them caused it.
 *
 * @property starting runs that the worker had confirmed and whose start it did not survive.
 * @property unconfirmed runs that the worker may have started.
 * @property running runs whose start the worker had survived.
 */
@Serializable
data class WorkerCrash(
    val starting: List<RunId> = emptyList(),
    val unconfirmed: List<RunId> = emptyList(),
    val running: List<RunId> = emptyList(),
) {
    val isEmpty: Boolean get() = starting.isEmpty() && unconfirmed.isEmpty() && running.isEmpty()

    /** Whether all runs that were about to start belong to one job. */
    val hasSoleStarter: Boolean get() = (starting + unconfirmed).distinctBy { it.task.job }.size == 1

    /** All runs of the crash. */
    val runs: List<RunId> get() = starting + unconfirmed + running

    operator fun plus(other: WorkerCrash) = WorkerCrash(starting + other.starting, unconfirmed + other.unconfirmed, running + other.running)
}
