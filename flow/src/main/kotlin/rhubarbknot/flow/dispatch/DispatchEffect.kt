package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.EventVolume
import rhubarbknot.flow.model.LoggedEvent
import rhubarbknot.flow.state.FlowCommand

/** An action that a [Dispatcher] requests from its driver. */
sealed interface DispatchEffect {
    data class Propose(
        val command: FlowCommand,
    ) : DispatchEffect

    data class Call(
        val call: WorkerCall,
        val timeoutMillis: Long,
    ) : DispatchEffect

    data class AskEligibility(
        val request: EligibilityRequest,
    ) : DispatchEffect

    /** An entry for the decision log; [durationMillis] is the value for a latency histogram, or null when there is none. */
    data class LogEvent(
        val event: DispatchEvent,
        val subject: String,
        val detail: String,
        val durationMillis: Long? = null,
    ) : DispatchEffect
}

/** Decisions and observations of a [Dispatcher] that are recorded for operators. */
enum class DispatchEvent(
    override val volume: EventVolume = EventVolume.KEY,
) : LoggedEvent {
    STEP_WAITS(EventVolume.PLENTIFUL),
    RESERVATION_MADE(EventVolume.PLENTIFUL),
    RESERVATION_DROPPED(EventVolume.PLENTIFUL),
    QUESTION_DEFERRED(EventVolume.PLENTIFUL),
    RUNS_ASSIGNED(EventVolume.PLENTIFUL),
    RUN_RESTARTED,
    RUN_STARTED(EventVolume.PLENTIFUL),
    RUN_ENDED(EventVolume.PLENTIFUL),
    RUN_LOST,
    RUN_REFUSED(EventVolume.PLENTIFUL),
    RUN_STALLED,
    RUN_STOP_WANTED,
    START_UNANSWERED,
    UNEXPECTED_RUN,
    STALE_END,
    WORKER_SEEN,
    WORKER_FENCED,
    WORKER_UNREACHABLE,
    WORKER_REGAINED,
    WORKER_DISTRUSTED,
    LIMITS_LIFTED,
    WORKER_OVER,
    WORKER_LEAVING,
    LEAVE_IGNORED,
    WORKER_CRASHED,
    LEASE_WAITED_OUT,
    FENCED_OUT,
    ORDER_CHANGED,
    JOB_OVER(EventVolume.PLENTIFUL),
}

/** Collects [DispatchEffect]s in the order in which they must be executed. */
internal class EffectBuffer {
    private val effects = ArrayList<DispatchEffect>()

    fun propose(command: FlowCommand) {
        effects += DispatchEffect.Propose(command)
    }

    fun call(
        call: WorkerCall,
        timeoutMillis: Long,
    ) {
        effects += DispatchEffect.Call(call, timeoutMillis)
    }

    fun ask(request: EligibilityRequest) {
        effects += DispatchEffect.AskEligibility(request)
    }

    fun logEvent(
        event: DispatchEvent,
        subject: String,
        detail: String = "",
        durationMillis: Long? = null,
    ) {
        effects += DispatchEffect.LogEvent(event, subject, detail, durationMillis)
    }

    /** Returns and removes the effects collected since the last call. */
    fun drain(): List<DispatchEffect> {
        if (effects.isEmpty()) return emptyList()
        val drained = ArrayList(effects)
        effects.clear()
        return drained
    }
}
