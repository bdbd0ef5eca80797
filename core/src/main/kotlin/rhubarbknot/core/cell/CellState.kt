package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.registry.ZoneOffer

/** The persistent state of a cell. [CellIndex] rebuilds what is derived from it. */
@Serializable
class CellState {
    var now = 0L
    var nextSeq = 1L
    var sweptAt = 0L
    var configVersion = 0L
    var configured = false
    var inService = false
    var held = false
    var others: List<ZoneOffer> = emptyList()

    /** Bit mask of the executor kinds for which the next scheduling pass may find a task to start. */
    var dirtyKinds = 0

    /** Random seed for the jitter of retries; advanced on each use. */
    var random = 1L
    val teams = LinkedHashMap<TeamId, TeamState>()
    val jobs = LinkedHashMap<JobId, Job>()
    val executors = LinkedHashMap<ExecutorId, Executor>()

    /** Run times by queue, in HdrHistogram's encoding; set only while a snapshot is written or restored. */
    var runTimes: Map<String, ByteArray> = emptyMap()

    /** Used part of the declared resources by queue, in the same encoding; set only while a snapshot is written or restored. */
    var sizes: Map<String, ByteArray> = emptyMap()
}
