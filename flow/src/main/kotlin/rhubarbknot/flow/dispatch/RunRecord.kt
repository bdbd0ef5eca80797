package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.StepSpec

/** Lifecycle stage of a run as known to the leader. */
internal enum class RunStage {
    /** The assignment is proposed to the log. */
    PROPOSED,

    /** The assignment is committed; the start is not sent yet or its outcome is unknown. */
    STARTING,

    /** The worker confirmed the run. */
    RUNNING,

    /** Assigned under an earlier leader, which may have started it. */
    INHERITED,
}

/**
 * The leader's record of a run that may exist on a worker.
 *
 * @property isSuspect whether its task may crash the worker.
 */
internal class RunRecord(
    val run: RunId,
    val team: String,
    val queue: String,
    val spec: StepSpec,
    worker: WorkerRecord,
    var stage: RunStage,
    val ticket: Ticket?,
    val proposedAt: Long,
    val isSuspect: Boolean = false,
) {
    /** The worker that may run it. */
    var worker = worker
        private set
    val demand: Resources get() = spec.demand
    var stopWanted = false
    val stopAcknowledged: Boolean get() = stoppedAt != Long.MAX_VALUE
    var callInFlight = false

    /** A start was sent without a response, so it may still be executed. */
    var startUncertain = false

    /** Number of starts sent without a response. */
    var unansweredStarts = 0
    var retryAt = 0L
    var committedAt = 0L
    var endListedAt = 0L

    /** When the worker confirmed that it has this run. */
    var confirmedAt = Long.MAX_VALUE

    /** Upper bound of the reading of the worker's clock when it confirmed the run; [Long.MAX_VALUE] if it did not tell. */
    var confirmedClock = Long.MAX_VALUE

    /** When the last stop was sent; whether or not it is answered, the run may be stopping, and listed nowhere. */
    var stopSentAt = Long.MIN_VALUE / 2

    /** When the worker acknowledged a stop; the run may continue for the duration of a stop. */
    var stoppedAt = Long.MAX_VALUE
    var checkpoint = ""

    /** Whether the worker has run for long enough since the start that the start did not crash it. */
    var survivedStart = false

    /** Whether a start was or may have been executed. */
    val mayBePresent: Boolean
        get() =
            when (stage) {
                RunStage.PROPOSED -> false
                RunStage.STARTING -> startUncertain || callInFlight
                RunStage.RUNNING, RunStage.INHERITED -> true
            }

    /** How long the run, which has ended by [now], was active; 0 if its worker never confirmed it. */
    fun ranMillis(now: Long): Long = maxOf(0, (if (endListedAt > 0) endListedAt else now) - confirmedAt)

    /** Progress that the worker reports for the run. */
    val progress = RunProgress()

    /** The end of the run is proposed to the log. */
    var ending = false

    /** Why this leader took the run for over, for the event log; empty when the worker listed the end. */
    var endCause = ""

    /** Whether the event log tells already that a stop was wanted. */
    var stopLogged = false

    /**
     * Moves the run to [successor], the restarted worker with the same id, which may have received a start that was sent to
     * its earlier incarnation. If such a start may still be in flight, only a stop guarantees that it has no effect.
     */
    fun moveTo(successor: WorkerRecord) {
        worker = successor
        // The successor knows nothing of a stop that its predecessor acknowledged.
        stoppedAt = Long.MAX_VALUE
        stopSentAt = Long.MIN_VALUE / 2
        confirmedClock = Long.MAX_VALUE
        if (stage == RunStage.PROPOSED || stage == RunStage.STARTING) {
            startUncertain = startUncertain || callInFlight
            stopWanted = true
        } else {
            stage = RunStage.INHERITED
        }
        callInFlight = false
    }

    /** Records that the worker listed the end of the run. */
    fun markEndListed(now: Long) {
        ending = true
        endCause = ""
        endListedAt = now
    }
}
