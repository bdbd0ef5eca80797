package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.model.WorkerReport

/** The leader's record of one incarnation of a worker. */
internal class WorkerRecord(
    val incarnation: WorkerIncarnation,
    val knownSince: Long,
    val fencingToken: Long,
) {
    var reportedAt = knownSince

    /** Its latest report; null while only its runs are known. */
    var report: WorkerReport? = null
    val runs = LinkedHashMap<TaskId, RunRecord>()
    var used = Resources.NONE
        private set

    /** The part of [used] that lasting runs use, which they keep until their jobs are cancelled. */
    var usedByLasting = Resources.NONE
        private set
    private val startingRuns = LinkedHashSet<RunRecord>()

    /** Runs whose start the worker has not yet survived. */
    val starting: Collection<RunRecord> get() = startingRuns

    /** The runs that ended when their leases expired, in case the silent worker had crashed. */
    var suspectedCrash: WorkerCrash? = null

    /** Whether the worker has seen this leader's fencing token and so rejects calls of earlier leaders. */
    var fenced = false

    /** Until when calls to an earlier incarnation under the same id can have granted a lease to this one, on the worker's clock. */
    var inheritedUntil = Long.MIN_VALUE

    /** Whether this incarnation has ended and runs nothing any more. */
    var terminated = false

    /**
     * When the leave message of this incarnation or of an earlier one under the same id arrived; [Long.MAX_VALUE] while there
     * is none. The message does not tell which incarnation sent it.
     */
    var leftAt = Long.MAX_VALUE

    /** Whether another worker has reported this one's address, and this one has not answered there since. */
    var addressDoubted = false

    /** The call in flight that asks who is at the address, besides the renewals of the lease. */
    var addressProbe: WorkerCall.Renew? = null

    /** Highest end number that is committed to the log. */
    var lastCommittedEnd = 0L

    /** Highest end number that is proposed to the log. */
    var lastProposedEnd = 0L

    /** Highest end number that is acknowledged to the worker. */
    var lastAcknowledgedEnd = 0L

    /** Listed runs that this leader expected elsewhere or nowhere, and that the event log tells of already. */
    val unexpectedRuns = LinkedHashSet<RunId>()

    /** When this incarnation last listed its runs. */
    var runsListedAt = Long.MIN_VALUE / 2
    var renewInFlight = false
    var renewDueAt = 0L

    /** Number of calls without a response since the last response. */
    var unansweredCalls = 0

    /** When the worker last answered a call. */
    var answeredAt = knownSince

    /** Latest reading of its clock. */
    var clockReading = Long.MIN_VALUE
        private set
    private var clockReadAt = 0L

    /** Latest lease deadline sent, on the worker's clock. */
    var grantedUntil = Long.MIN_VALUE
    val trust = WorkerTrust()

    val capacity: Resources get() = report?.room ?: Resources.NONE
    val free: Resources get() = capacity - used
    val isLeaving: Boolean get() = leftAt != Long.MAX_VALUE
    val hasCommittedRuns: Boolean get() = runs.values.any { it.stage != RunStage.PROPOSED }

    fun add(run: RunRecord) {
        runs[run.run.task] = run
        if (!run.survivedStart) startingRuns += run
        used += run.demand
        if (run.spec.lasting) usedByLasting += run.demand
    }

    fun remove(run: RunRecord) {
        if (runs[run.run.task] !== run) return
        runs.remove(run.run.task)
        startingRuns -= run
        used -= run.demand
        if (run.spec.lasting) usedByLasting -= run.demand
    }

    /** Records that the worker, which has just listed its runs, has survived the starts that it confirmed by [confirmedUntil]. */
    fun markSurvivedStarts(confirmedUntil: Long) = markSurvived { it.confirmedAt <= confirmedUntil }

    /** Records that this incarnation, which has just reported, has survived the starts that it confirmed by [clockUntil] on its clock. */
    fun markSurvivedStartsByClock(clockUntil: Long) = markSurvived { it.confirmedClock <= clockUntil }

    private inline fun markSurvived(hasSurvived: (RunRecord) -> Boolean) {
        if (startingRuns.isEmpty()) return
        startingRuns.filter(hasSurvived).forEach {
            it.survivedStart = true
            startingRuns -= it
        }
    }

    /** Whether a worker that still lists its runs at [now] did not send the leave message, or has not ended after all. */
    fun isLeaveDue(
        now: Long,
        departureMillis: Long,
    ): Boolean = isLeaving && now - leftAt >= departureMillis

    fun readClock(
        reading: Long,
        now: Long,
    ) {
        if (reading < clockReading) return
        clockReading = reading
        clockReadAt = now
    }

    /** Lower bound of the worker's clock reading at [now]. */
    fun clockAtLeast(
        now: Long,
        slowPerMille: Long,
    ): Long = clockReading + (now - clockReadAt) * (PER_MILLE - slowPerMille) / PER_MILLE

    private companion object {
        const val PER_MILLE = 1_000L
    }
}
