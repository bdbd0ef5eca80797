package rhubarbknot.core.cell

import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId

/** An action that follows from the commands of a batch. Only the leader executes effects; other replicas discard them. */
sealed interface CellEffect {
    /** Answers [request]: the job is accepted. [outcome] is set if it is a resubmission of a job that has finished. */
    data class Accepted(
        val request: RequestId,
        val job: JobId,
        val duplicate: Boolean,
        val outcome: Outcome?,
        val movedTo: ZoneId? = null,
    ) : CellEffect

    /** Refuses [request]; no task of it has run. */
    data class Refused(
        val request: RequestId,
        val reason: RefusalReason,
        val detail: String,
    ) : CellEffect

    /** Answers the cancellation [request]: [stopped] jobs were or will be stopped, [missing] are unknown to the cell. */
    data class Cancelled(
        val request: RequestId,
        val stopped: Int,
        val missing: Int,
    ) : CellEffect

    /** [job] has finished, or its unknown outcome was resolved. */
    data class Finished(
        val job: JobId,
        val outcome: Outcome,
    ) : CellEffect

    /** Starts an attempt. Valid only for this incarnation and session of the executor. */
    data class Start(
        val executor: ExecutorId,
        val incarnation: String,
        val session: Long,
        val attempt: AttemptId,
        val spec: JobSpec,
    ) : CellEffect

    data class Stop(
        val executor: ExecutorId,
        val attempt: AttemptId,
        val mode: StopMode,
    ) : CellEffect

    /** Sends the job to [zone]; repeated until [CellCommand.Moved] is committed. */
    data class MoveOut(
        val transfer: JobTransfer,
        val zone: ZoneId,
    ) : CellEffect

    /** Tells zone [from] that [job] is stored durably here; [up] if nothing of it waits to be started. */
    data class Adopted(
        val job: JobId,
        val from: ZoneId,
        val up: Boolean,
    ) : CellEffect

    /** The result of [attempt] is stored durably; the executor may discard it. */
    data class EndRecorded(
        val executor: ExecutorId,
        val attempt: AttemptId,
    ) : CellEffect
}
