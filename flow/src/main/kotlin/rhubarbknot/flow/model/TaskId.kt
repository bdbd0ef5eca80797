package rhubarbknot.flow.model

import kotlinx.serialization.Serializable

/** Names one task: its job, which repetition of the job, its step and its place in the step. */
@Serializable
data class TaskId(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step.$index"

    companion object {
        private const val PARTS = 4

        /** The task that [text] names; null when it names none. */
        fun parse(text: String): TaskId? {
            val parts = text.split('.')
            if (parts.size != PARTS) return null
            val numbers = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskId(parts[0], numbers[0], numbers[1], numbers[2])
        }
    }
}

/** One start of a task; a higher [number] is a later one. */
@Serializable
data class RunId(
    val task: TaskId,
    val number: Int,
)

/**
 * One life of a worker.
 *
 * @property born Unix milliseconds of its start, which tells its lives apart.
 */
@Serializable
data class WorkerIncarnation(
    val id: String,
    val born: Long,
)
