package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.Configuration
import java.util.PriorityQueue

/**
 * One pass over all waiting steps in scheduling order. A pass that is too long for one turn of the control thread goes on in the next
 * ones, so that heartbeats, lease renewals and requests are handled in between.
 */
internal class PlanningPass(
    val configuration: Configuration,
) {
    /** The collected steps that are still to be placed, in scheduling order. */
    val steps = PriorityQueue(WorkQueue.order)

    /** Sequence number of the last job whose steps were collected. */
    var collectedUpTo = 0L

    /** Whether the steps of all jobs are collected, so that placing can begin. */
    var isCollected = false

    private val reservations = HashMap<String?, Reservations>()

    /** What is kept free in each pool that was planned for. */
    val reservationsByPool: Map<String?, Reservations> get() = reservations

    /** What is kept free in [pool] for steps that were not placed in this pass. */
    fun reservations(pool: String?): Reservations = reservations.getOrPut(pool) { Reservations() }
}

/** Limits the operations of one turn of the control thread. An operation is about the check of one worker for one step. */
internal class OperationBudget(
    private val limit: Int,
) {
    var spent = 0
        private set
    val isSpent: Boolean get() = spent >= limit

    fun spend(operations: Int) {
        spent += operations
    }
}
