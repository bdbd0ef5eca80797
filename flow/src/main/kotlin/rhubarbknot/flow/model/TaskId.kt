package rhubarbknot.flow.model

import kotlinx.serialization.Serializable

/** Identifies a task by its job, the occurrence of the job, its step and its index in the step. */
@Serializable
data class TaskId(
    val job: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step.$index"

    companion object {
        private const val PART_COUNT = 4

        /** Parses the format of [toString]; returns null when [text] is malformed. */
        fun parse(text: String): TaskId? {
            val parts = text.split('.')
            if (parts.size != PART_COUNT) return null
            val numbers = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskId(parts[0], numbers[0], numbers[1], numbers[2])
        }
    }
}

/** One run of a task; a later run has a higher [number]. */
@Serializable
data class RunId(
    val task: TaskId,
    val number: Int,
)

/**
 * One incarnation of a worker, from the start of its process to its end.
 *
 * @property born start time in Unix milliseconds, which distinguishes incarnations of the same worker.
 */
@Serializable
data class WorkerIncarnation(
    val id: String,
    val born: Long,
) {
    override fun toString(): String = "$id/$born"
}
