package rhubarbknot.core.cell

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.TeamId
import rhubarbknot.core.registry.ZoneOffer

/** Everything a cell remembers. What is derived from it is built again by [CellIndex]. */
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

    /** Kinds of executors for which the next pass may find something to start, one bit each. */
    var dirtyKinds = 0

    /** Seed of the jitter of retries; moves on with each use. */
    var random = 1L
    val teams = LinkedHashMap<TeamId, TeamState>()
    val jobs = LinkedHashMap<JobId, Job>()
    val executors = LinkedHashMap<ExecutorId, Executor>()

    /** Run times by queue, in the encoding of HdrHistogram; only filled in snapshots. */
    var runTimes: Map<String, ByteArray> = emptyMap()

    /** Part of the declared size that tasks used, by queue, in the same encoding; only filled in snapshots. */
    var sizes: Map<String, ByteArray> = emptyMap()
}
