package rhubarbknot.flow.state

import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.StepSpec

/**
 * Estimates the heap that jobs take on every control node: their objects, and their part of the snapshots, of which several copies exist
 * while one is made.
 */
object JobMemory {
    /** Bytes of a job that is over and remembered: its ids and times, several times. */
    const val FINISHED_BYTES = 1_000L
    private const val JOB_BYTES = 1_200L
    private const val STEP_BYTES = 500L

    /** A task that waits; those that run are few, as the workers bound them. */
    private const val TASK_BYTES = 100L
    private const val DEPENDENCY_BYTES = 16L

    /** A text is held once as such, and in the snapshots before, in progress and to be written. */
    private const val TEXT_COPIES = 5L

    /** Bytes of a job that is accepted and not over. */
    fun ofAccepted(request: JobRequest): Long =
        JOB_BYTES + TEXT_COPIES * textBytes(request.payload) + request.steps.sumOf { STEP_BYTES + it.count * TASK_BYTES + ofTexts(it) }

    private fun ofTexts(step: StepSpec): Long =
        step.after.size * DEPENDENCY_BYTES + TEXT_COPIES * (textBytes(step.label) + textBytes(step.dataRack))

    /** A text with a letter outside of Latin-1 takes two bytes for each letter in memory, and up to three in a snapshot. */
    private fun textBytes(text: String): Long = if (text.all { it.code <= MAX_LATIN_1 }) text.length.toLong() else 2L * text.length

    private const val MAX_LATIN_1 = 0xFF
}
