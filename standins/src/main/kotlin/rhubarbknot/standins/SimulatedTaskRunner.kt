package rhubarbknot.standins

import kotlinx.coroutines.delay
import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.WorkKind

/**
 * Simulates tasks: waits for the expected run time multiplied by the slowdown, echoes the payload and reports every start
 * and stop to the [monitor].
 */
class SimulatedTaskRunner(
    private val info: ExecutorInfo,
    private val zone: String,
    private val monitor: InvariantMonitor,
    private val slowdown: Double = 1.0,
) : TaskRunner {
    override suspend fun run(
        attempt: AttemptId,
        spec: JobSpec,
    ): AttemptReport {
        if (spec.kind == WorkKind.SERVICE) delay(Long.MAX_VALUE)
        val millis = (spec.expectedRunMillis * slowdown).toLong()
        if (millis > 0) delay(millis)
        return AttemptReport(attempt, AttemptState.COMPLETED, "answer to ${spec.payload}")
    }

    override fun started(
        attempt: AttemptId,
        spec: JobSpec,
    ) = monitor.started(info, zone, attempt, spec)

    override fun stopped(attempt: AttemptId) = monitor.stopped(info, attempt)
}
