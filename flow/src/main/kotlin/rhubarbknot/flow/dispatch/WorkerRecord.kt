package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport

/** What the leader knows of one life of a worker. */
internal class WorkerRecord(
    val life: WorkerIncarnation,
    val knownSince: Long,
) {
    var reportedAt = knownSince

    /** Its newest word of itself; null while only its runs are known. */
    var report: WorkerReport? = null
    val runs = LinkedHashMap<TaskId, RunRecord>()
    var used = Resources.NONE
        private set

    /** Whether the worker has seen this leader's fencing token, so that no earlier leader's order counts any more. */
    var fenced = false

    /** Whatever was there is over. */
    var over = false
    var leftAt = Long.MAX_VALUE

    /** Ends up to here are committed. */
    var seen = 0L

    /** Ends up to here are proposed to the log. */
    var proposedSeen = 0L

    /** Ends up to here are acknowledged to the worker. */
    var acknowledged = 0L

    /** When this life of it listed its runs last. */
    var listedAt = Long.MIN_VALUE / 2
    var renewInFlight = false
    var renewDueAt = 0L

    /** Calls without an answer since the last answer. */
    var unanswered = 0
    private var clockReading = Long.MIN_VALUE
    private var clockReadAt = 0L

    /** Latest deadline ever sent, on the worker's clock. */
    var grantedUntil = Long.MIN_VALUE
    val trust = WorkerTrust()

    val room: Resources get() = report?.room ?: Resources.NONE
    val free: Resources get() = room - used
    val hasOrders: Boolean get() = runs.values.any { it.stage != RunStage.PROPOSED }

    fun add(run: RunRecord) {
        runs[run.run.task] = run
        used += run.demand
    }

    fun remove(run: RunRecord) {
        if (runs[run.run.task] !== run) return
        runs.remove(run.run.task)
        used -= run.demand
    }

    fun readClock(
        reading: Long,
        now: Long,
    ) {
        if (reading < clockReading) return
        clockReading = reading
        clockReadAt = now
    }

    /** What the worker's clock shows at least. */
    fun clockAtLeast(
        now: Long,
        slowPerMille: Long,
    ): Long = clockReading + (now - clockReadAt) * (PER_MILLE - slowPerMille) / PER_MILLE

    private companion object {
        const val PER_MILLE = 1_000L
    }
}
