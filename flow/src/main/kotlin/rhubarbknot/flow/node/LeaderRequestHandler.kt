package rhubarbknot.flow.node

import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState

/** Decision of the leader on a request: an immediate answer, or a command to commit whose outcome is the answer. */
internal sealed interface RequestDecision {
    data class Immediate(
        val answer: FlowAnswer,
    ) : RequestDecision

    /** The job [id] is not accepted because of [refusal]. */
    data class Overloaded(
        val id: String,
        val refusal: OverloadRefusal,
    ) : RequestDecision

    data class Commit(
        val command: FlowCommand,
    ) : RequestDecision
}

/**
 * Validates requests of callers and operators against the current state of the leader.
 *
 * @param overloadRefusalOf returns why a valid new job is refused for overload at a time; null if it is accepted.
 */
internal class LeaderRequestHandler(
    private val state: FlowState,
    private val overloadRefusalOf: (JobRequest, Queue, Long) -> OverloadRefusal?,
) {
    fun decide(
        request: FlowRequest,
        now: Long,
    ): RequestDecision =
        when (request) {
            is FlowRequest.Submit -> withQueue(request.to) { configuration, queue, id -> submit(request, configuration, queue, id, now) }
            is FlowRequest.Ask -> withQueue(request.to) { _, queue, id -> RequestDecision.Immediate(readState(queue, id)) }
            is FlowRequest.Cancel -> withQueue(request.to) { _, _, id -> cancel(id, now) }
            is FlowRequest.Configure -> configure(request.configuration)
            FlowRequest.ReadConfiguration -> RequestDecision.Immediate(readConfiguration())
            is FlowRequest.SetZone -> RequestDecision.Commit(FlowCommand.SetZone(request.zone, request.drained))
            is FlowRequest.Report, is FlowRequest.Leave -> RequestDecision.Immediate(FlowAnswer.Done)
        }

    private fun withQueue(
        to: RequestTarget,
        handle: (Configuration, Queue, String) -> RequestDecision,
    ): RequestDecision {
        val configuration = state.configuration ?: return refused(Refusal.NO_CONFIGURATION, CONFIGURATION_RETRY_MILLIS)
        val queue = configuration.route(to.host, to.path) ?: return refused(Refusal.UNKNOWN_QUEUE)
        val key = to.key
        if (!queue.public && (key == null || configuration.teamOfKey(key) == null)) return refused(Refusal.UNKNOWN_KEY)
        return handle(configuration, queue, to.path.removePrefix(queue.pathPrefix))
    }

    private fun submit(
        request: FlowRequest.Submit,
        configuration: Configuration,
        queue: Queue,
        id: String,
        now: Long,
    ): RequestDecision {
        if (!JOB_ID.matches(id) || !areValidSteps(request.steps)) return refused(Refusal.INVALID)
        if (state.job(id) != null) return RequestDecision.Immediate(FlowAnswer.Done)
        val team =
            request.to.key
                ?.let { configuration.teamOfKey(it)?.name }
                .orEmpty()
        val job = JobRequest(id, queue.name, team, request.payload, request.steps)
        overloadRefusalOf(job, queue, now)?.let { return RequestDecision.Overloaded(id, it) }
        return RequestDecision.Commit(FlowCommand.Submit(job, now, queue))
    }

    private fun areValidSteps(steps: List<StepSpec>): Boolean =
        steps.isNotEmpty() &&
            steps.sumOf { it.count.toLong() } <= JobRequest.MAX_TASKS &&
            steps.withIndex().all { (i, step) -> step.count > 0 && step.after.all { it in 0 until i } }

    private fun readState(
        queue: Queue,
        id: String,
    ): FlowAnswer {
        if (id.isEmpty()) return FlowAnswer.QueueIs(state.pending(queue))
        val job = state.job(id) ?: return FlowAnswer.Refused(Refusal.UNKNOWN_JOB)
        return FlowAnswer.JobIs(job.phase)
    }

    private fun cancel(
        id: String,
        now: Long,
    ): RequestDecision {
        val job = state.job(id) ?: return refused(Refusal.UNKNOWN_JOB)
        return if (job.phase.isFinal) RequestDecision.Immediate(FlowAnswer.Done) else RequestDecision.Commit(FlowCommand.Cancel(id, now))
    }

    private fun configure(next: Configuration): RequestDecision {
        val current = state.configuration
        return if (current != null &&
            next.version <= current.version
        ) {
            RequestDecision.Immediate(FlowAnswer.Done)
        } else {
            RequestDecision.Commit(FlowCommand.Configure(next))
        }
    }

    private fun readConfiguration(): FlowAnswer =
        state.configuration?.let { FlowAnswer.ConfigurationIs(it.document) }
            ?: FlowAnswer.Refused(Refusal.NO_CONFIGURATION, CONFIGURATION_RETRY_MILLIS)

    private fun refused(
        reason: Refusal,
        retryAfterMillis: Long = 0,
    ) = RequestDecision.Immediate(FlowAnswer.Refused(reason, retryAfterMillis))

    private companion object {
        val JOB_ID = Regex("[A-Za-z0-9_-]{1,64}")
        const val CONFIGURATION_RETRY_MILLIS = 1_000L
    }
}
