package rhubarbknot.flow.node

import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport

/**
 * The latest report of each worker, kept by every control node so that the next leader knows the workers at once, and the
 * reports that this node has yet to forward to the others.
 *
 * Reports are forwarded together: a frame written alone costs each receiver a wake-up, and a hundred workers or more report
 * each second.
 */
internal class WorkerReportCache {
    /** A report and the time at which it arrived at this node. */
    class Received(
        val report: WorkerReport,
        val receivedAt: Long,
    )

    private val latest = LinkedHashMap<String, Received>()
    private val toForward = LinkedHashMap<WorkerIncarnation, WorkerReport>()
    private var forwardDueAt = 0L

    /** The latest report of each worker. */
    val all: Collection<Received> get() = latest.values

    /** Stores [report]; returns false when a newer one is known. */
    fun add(
        report: WorkerReport,
        now: Long,
    ): Boolean {
        val previous = latest[report.life.id]
        if (previous != null && !report.isNewerThan(previous.report)) return false
        latest[report.life.id] = Received(report, now)
        return true
    }

    /** The pool in the latest report of the worker called [id]; null without a report. */
    fun poolOf(id: String): String? = latest[id]?.report?.pool

    /** Queues [report], which a worker sent to this node, for the other control nodes. */
    fun queueForward(report: WorkerReport) {
        toForward[report.life] = report
    }

    /** Returns and removes the queued reports if the last ones were taken long enough before [now]. */
    fun takeDue(now: Long): List<WorkerReport> = if (now >= forwardDueAt) takeQueued(now) else emptyList()

    /** Returns and removes the queued reports. */
    fun takeQueued(now: Long): List<WorkerReport> {
        forwardDueAt = now + FORWARD_PERIOD_MILLIS
        val taken = toForward.values.toList()
        toForward.clear()
        return taken
    }

    /** Drops the reports of workers that have not reported for a long time. */
    fun removeStale(now: Long) {
        latest.values.removeIf { now - it.receivedAt > RETENTION_MILLIS }
    }

    private companion object {
        const val RETENTION_MILLIS = 20_000L

        /** Short against the time without a report after which a worker gets no runs. */
        const val FORWARD_PERIOD_MILLIS = 200L
    }
}
