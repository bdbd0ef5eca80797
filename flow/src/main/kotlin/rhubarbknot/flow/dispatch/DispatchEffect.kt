package rhubarbknot.flow.dispatch

import rhubarbknot.flow.state.FlowCommand

/** What a [Dispatcher] wants done. */
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

    /** For the decision log; [durationMillis] is what a latency histogram wants to know, if anything. */
    data class LogEvent(
        val event: DispatchEvent,
        val subject: String,
        val detail: String,
        val durationMillis: Long? = null,
    ) : DispatchEffect
}

/** Decisions and observations of a [Dispatcher] that an operator may need later. */
enum class DispatchEvent {
    STEP_WAITS,
    RUNS_ASSIGNED,
    RUN_STARTED,
    RUN_ENDED,
    RUN_LOST,
    RUN_REFUSED,
    RUN_STALLED,
    RUN_STOP_WANTED,
    START_UNANSWERED,
    WORKER_FENCED,
    WORKER_UNREACHABLE,
    WORKER_REGAINED,
    WORKER_DISTRUSTED,
    WORKER_OVER,
    LEASE_WAITED_OUT,
    FENCED_OUT,
    JOB_OVER,
}

/** Collects [DispatchEffect]s in the order in which they are to be carried out. */
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

    fun note(
        event: DispatchEvent,
        subject: String,
        detail: String = "",
        durationMillis: Long? = null,
    ) {
        effects += DispatchEffect.LogEvent(event, subject, detail, durationMillis)
    }

    /** Everything collected since the last call. */
    fun drain(): List<DispatchEffect> {
        if (effects.isEmpty()) return emptyList()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }
}
