package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation

/**
 * Why a run ended after which its task may be started again, as this leader decided or saw it.
 *
 * @property cause what the leader took for the proof that nothing runs any more; empty for an end that the worker listed.
 */
internal data class RunEndReason(
    val number: Int,
    val outcome: RunOutcome,
    val worker: WorkerIncarnation,
    val cause: String,
    val at: Long,
)

/** The reasons of the latest [capacity] ends by task, so that the log can tell why a task is started again. */
internal class RunEndReasons(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val byTask = LinkedHashMap<TaskId, RunEndReason>()

    /** Records that [record] has ended with [end]. */
    fun record(
        record: RunRecord,
        end: RunEnd,
        now: Long,
    ) {
        val task = end.run.task
        byTask.remove(task)
        if (end.ending == RunOutcome.DONE && !record.spec.lasting) return
        byTask[task] = RunEndReason(end.run.number, end.ending, record.worker.incarnation, record.endCause, now)
        if (byTask.size > capacity) byTask.remove(byTask.keys.first())
    }

    /** Returns and forgets why the latest run of [task] ended; null when it is not known to this leader. */
    fun take(task: TaskId): RunEndReason? = byTask.remove(task)

    private companion object {
        const val DEFAULT_CAPACITY = 2_000
    }
}
