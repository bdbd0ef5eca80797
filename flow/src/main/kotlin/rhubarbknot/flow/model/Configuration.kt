package rhubarbknot.flow.model

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Resources

/**
 * Everything that operators decide, as one numbered whole: the highest version is in force.
 *
 * @property document the operators' own text of it, given back as it came.
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
    fun queue(name: String): Queue? = queues.firstOrNull { it.name == name }

    fun pool(name: String): Pool? = pools.firstOrNull { it.name == name }

    fun team(name: String): Team? = teams.firstOrNull { it.name == name }

    /** The team that [key] belongs to. */
    fun teamOfKey(key: String): Team? = teams.firstOrNull { key in it.keys }

    /** The queue at [host] whose prefix is the longest that [path] begins with. */
    fun route(
        host: String,
        path: String,
    ): Queue? = queues.filter { it.host == host && path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }
}

/**
 * Where jobs of one kind are handed in.
 *
 * @property pool name of the workers that run its tasks.
 * @property priority 0 goes first.
 * @property slackFactor how many times its longest chain of work a job may take.
 * @property targetMillis what a job may take beyond that.
 * @property eligibility terms of the service that says which workers may run a step; null when all may.
 * @property public whether jobs are taken without a key.
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
)

/**
 * What one question to the eligibility service costs, and how long its tickets are good.
 */
@Serializable
data class EligibilitySettings(
    val decideMillis: Double,
    val perWorkerMillis: Double,
    val validMillis: Long,
)

/**
 * Workers that serve the same queues.
 *
 * @property guardsRoom whether its workers themselves refuse what does not fit.
 */
@Serializable
data class Pool(
    val name: String,
    val guardsRoom: Boolean = false,
    val standby: Boolean = false,
)

/**
 * One row of the table.
 *
 * @property ceiling most that the team may have running; 0 in a dimension is no limit.
 */
@Serializable
data class Team(
    val name: String,
    val keys: List<String>,
    val weight: Double = 1.0,
    val ceiling: Resources = Resources.NONE,
)

/** Bounds on callers' requests. */
@Serializable
data class RequestLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 262_144,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)
