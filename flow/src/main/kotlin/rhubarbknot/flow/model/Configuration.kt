package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * Configuration set by the operators, replaced as a whole: the highest [version] is in force.
 *
 * @property document the configuration as the operators wrote it, returned unchanged.
 */
@Serializable
data class Configuration(
    val version: Long,
    val queues: List<Queue> = emptyList(),
    val pools: List<Pool> = emptyList(),
    val teams: List<Team> = emptyList(),
    val limits: RequestLimits = RequestLimits(),
    val document: String = "",
) {
    /** The queues at each normalised host, those with the longest path prefixes first. */
    private val queuesByHost: Map<String, List<Queue>> by lazy {
        queues.groupBy { HostNames.normalise(it.host) }.mapValues { (_, atHost) -> atHost.sortedByDescending { it.pathPrefix.length } }
    }

    private val queuesByName: Map<String, List<Queue>> by lazy { queues.groupBy { it.name } }
    private val queuesByPlace: Map<QueuePlace, Queue> by lazy { queues.associateBy { it.place } }

    fun queue(name: String): Queue? = queuesByName[name]?.first()

    /**
     * The queue that has taken over from [previous], a queue of an earlier configuration: the one with its name at its place; otherwise
     * one to the same pool at its place (renamed) or with its name (moved); null for none. If [previous] [isRemoved], there was a
     * configuration without it, so that only a queue to the same pool can be it.
     */
    fun successorOf(
        previous: Queue,
        isRemoved: Boolean,
    ): Queue? {
        fun isSamePool(queue: Queue) = previous.pool.isEmpty() || queue.pool == previous.pool
        val atPlace = queuesByPlace[previous.place]
        return when {
            atPlace != null && atPlace.name == previous.name && !isRemoved -> atPlace
            atPlace != null && isSamePool(atPlace) -> atPlace
            else -> queuesByName[previous.name]?.firstOrNull { isSamePool(it) }
        }
    }

    fun pool(name: String): Pool? = pools.firstOrNull { it.name == name }

    fun team(name: String): Team? = teams.firstOrNull { it.name == name }

    /** Returns the team that owns the API key [key]. */
    fun teamOfKey(key: String): Team? = teams.firstOrNull { key in it.keys }

    /** Returns the queue at [host], in any case, with the longest path prefix that matches [path]. */
    fun route(
        host: String,
        path: String,
    ): Queue? = queuesByHost[HostNames.normalise(host)]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** Host names as HTTP compares them: the case of the letters A to Z doesn't matter. */
object HostNames {
    /** Returns the spelling of [host] that all spellings of the same host share. */
    fun normalise(host: String): String = if (host.none { it in 'A'..'Z' }) host else lowerAscii(host)

    private fun lowerAscii(host: String) = String(CharArray(host.length) { lowerAscii(host[it]) })

    private fun lowerAscii(char: Char) = if (char in 'A'..'Z') char.lowercaseChar() else char
}

/** Where a queue accepts jobs: at a normalised host and a path prefix. No two queues of a configuration share one. */
data class QueuePlace(
    val host: String,
    val pathPrefix: String,
)

/**
 * A queue that accepts jobs at one endpoint.
 *
 * @property pool name of the pool whose workers run its tasks; empty for a queue of which only the name is known.
 * @property priority 0 is the highest priority.
 * @property slackFactor factor applied to the length of a job's critical path to get its target duration.
 * @property targetMillis time added to that target duration.
 * @property eligibility settings of the eligibility service that decides which workers may run a step; null when all
 *   workers may.
 * @property public whether jobs are accepted without an API key.
 */
@Serializable
data class Queue(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val pool: String,
    val priority: Int = 0,
    val maxAttempts: Int = 1,
    val slackFactor: Double = 1.0,
    val targetMillis: Long = 0,
    val timeoutMillis: Long = 0,
    val eligibility: EligibilitySettings? = null,
    val public: Boolean = false,
) {
    val place: QueuePlace get() = QueuePlace(HostNames.normalise(host), pathPrefix)
}

/**
 * Time that one request to the eligibility service takes, and how long the tickets it issues stay valid.
 */
@Serializable
data class EligibilitySettings(
    val decideMillis: Double,
    val perWorkerMillis: Double,
    val validMillis: Long,
)

/**
 * A pool of workers that serve the same queues.
 *
 * @property guardsRoom whether its workers themselves reject tasks that exceed their capacity.
 */
@Serializable
data class Pool(
    val name: String,
    val guardsRoom: Boolean = false,
    val standby: Boolean = false,
)

/**
 * A team and its share of the cluster.
 *
 * @property ceiling maximum resources of the team's running tasks; 0 in a dimension means no limit.
 */
@Serializable
data class Team(
    val name: String,
    val keys: List<String>,
    val weight: Double = 1.0,
    val ceiling: Resources = Resources.NONE,
)

/** Limits on the size and duration of callers' HTTP requests. */
@Serializable
data class RequestLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 262_144,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)
