package rhubarbknot.flow.node

import rhubarbknot.core.overload.AdmissionDecision
import rhubarbknot.core.overload.AdmissionPolicy
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.JobMemory

/** Why a submitted job is refused for overload, and what its caller is told. */
internal data class OverloadRefusal(
    val reason: OverloadReason,
    val retryAfterMillis: Long,
    val detail: String,
)

/** What there is too little of for a submitted job. */
internal enum class OverloadReason(
    val event: NodeLogEvent,
) {
    /** The job could not be done in time to matter. */
    TOO_LATE(NodeLogEvent.JOB_REFUSED_TOO_LATE),

    /** The jobs in memory take as much of it as they may. */
    NO_MEMORY(NodeLogEvent.JOB_REFUSED_NO_MEMORY),

    /** The job was refused shortly before. */
    REPEATED(NodeLogEvent.JOB_REFUSED_REPEATED),
}

/**
 * Decides for the leader whether a job that is not known yet is accepted, as far as load and memory are concerned.
 *
 * A refused job stays refused for as long as another process may still pass on an earlier copy of its submission: what was told as
 * refused then never runs, unless the caller submits it again.
 *
 * @param maxHeldBytes highest [FlowState.heldBytes] with which jobs are accepted.
 */
internal class AdmissionController(
    private val state: FlowState,
    private val maxHeldBytes: Long,
) {
    private class Refused(
        val until: Long,
    )

    /** By job, in the order of the refusals. */
    private val refused = LinkedHashMap<String, Refused>()

    /** Returns why [request] for [queue] is refused at [now]; null if it is accepted. [dispatcher] knows the load of this term. */
    fun refusalOf(
        request: JobRequest,
        queue: Queue,
        dispatcher: Dispatcher?,
        now: Long,
    ): OverloadRefusal? {
        forgetRefused(now)
        refused[request.id]?.let { return OverloadRefusal(OverloadReason.REPEATED, it.until - now, "queue=${queue.name}") }
        val refusal = refusalForMemory(request, now) ?: refusalForLoad(request, queue, dispatcher, now) ?: return null
        refused[request.id] = Refused(now + AdmissionPolicy.MIN_RETRY_MILLIS)
        return refusal
    }

    private fun forgetRefused(now: Long) {
        val oldest = refused.values.iterator()
        while (oldest.hasNext()) {
            if (oldest.next().until > now) return
            oldest.remove()
        }
    }

    private fun refusalForMemory(
        request: JobRequest,
        now: Long,
    ): OverloadRefusal? {
        val bytes = JobMemory.ofAccepted(request)
        if (fitsMemory(request.team, bytes, state.heldBytes) || fitsMemory(request.team, bytes, state.heldBytesAt(now))) return null
        return OverloadRefusal(
            OverloadReason.NO_MEMORY,
            AdmissionPolicy.retryAfterMillis(request.id, excessMillis = 0),
            "team=${request.team} bytes=$bytes held=${state.heldBytes} ofTeam=${state.heldBytesOf(request.team)} limit=$maxHeldBytes " +
                "unfinished=${state.liveJobCount}",
        )
    }

    /** Whether [bytes] more for [team] leave enough of the memory to other teams, whatever the team submits. */
    private fun fitsMemory(
        team: String,
        bytes: Long,
        held: Long,
    ): Boolean {
        val free = maxHeldBytes - held
        return bytes <= free && (state.heldBytesOf(team) + bytes) / MAX_TEAM_BYTES_PER_FREE_BYTE <= free
    }

    private companion object {
        /** One team alone gets two thirds of the memory, and leaves a third to the others. */
        const val MAX_TEAM_BYTES_PER_FREE_BYTE = 2
    }

    private fun refusalForLoad(
        request: JobRequest,
        queue: Queue,
        dispatcher: Dispatcher?,
        now: Long,
    ): OverloadRefusal? {
        val decision = dispatcher?.admit(request, queue, now) as? AdmissionDecision.Refuse ?: return null
        val load = dispatcher.poolLoad(queue.pool)
        return OverloadRefusal(
            OverloadReason.TOO_LATE,
            decision.retryAfterMillis,
            "queue=${queue.name} team=${request.team} priority=${queue.priority} wait=${decision.expectedStart - now}ms " +
                "useful=${decision.uselessAfter - now}ms capacity=${load?.drainMilliCpus} waiting=${load?.waitingCoreMillis}",
        )
    }
}
