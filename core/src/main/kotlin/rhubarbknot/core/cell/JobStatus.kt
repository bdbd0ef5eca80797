package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.WaitInterval
import rhubarbknot.core.model.ZoneId

/** Phase of a job. */
@Serializable
enum class JobPhase { WAITING, RUNNING, ENDED, MOVED }

/** Status of a job, as it is reported to callers. */
@Serializable
data class JobStatus(
    val id: JobId,
    val phase: JobPhase,
    val tasks: Int,
    val running: Int,
    val completed: Int,
    val failed: Int,
    val acceptedAt: Long,
    val outcome: Outcome? = null,
    val waits: List<WaitInterval> = emptyList(),
    val movedTo: ZoneId? = null,
)
