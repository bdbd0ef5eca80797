package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation
import rhubarbknot.flow.state.FlowState

/** Describes for the event log what the leader believes of a task, and on which facts it relies. */
internal class RunBeliefs(
    private val state: FlowState,
    private val runs: RunTracker,
) {
    /** What this leader tracks of [task], and what the replicated state holds of it. */
    fun describe(task: TaskId): String = "tracked=${describeTracked(task)} state=${describeState(task)}"

    private fun describeTracked(task: TaskId): String {
        val record = runs.of(task) ?: return "none"
        return "${record.run.number}@${record.worker.incarnation} stage=${record.stage} ending=${record.ending}"
    }

    private fun describeState(taskId: TaskId): String {
        val job = state.job(taskId.job) ?: return "unknown job"
        val task = job.task(taskId) ?: return "job is ${job.phase}"
        return "${task.run}@${task.worker ?: "none"} done=${task.done} job=${job.phase}"
    }

    /** Whether [end], which [worker] listed, is not the end of a run that the leader takes for active on that incarnation. */
    fun isStale(
        end: RunEnd,
        worker: WorkerIncarnation,
    ): Boolean {
        val task = state.job(end.run.task.job)?.task(end.run.task) ?: return true
        if (runs.of(end.run)?.ending == true) return true
        return task.run != end.run.number || task.worker != worker
    }

    companion object {
        /** The facts about [run] and [worker] at [now] on which the decision relies that the run is lost; clocks are the worker's. */
        fun describeLoss(
            run: RunRecord,
            worker: WorkerRecord,
            now: Long,
        ): String {
            val start = "stage=${run.stage} startUncertain=${run.startUncertain} unansweredStarts=${run.unansweredStarts}"
            return "$start listed=${ageOf(worker.runsListedAt, now)} ${describeLease(worker, now)}"
        }

        /** The lease bound of [worker] and the lower bound of its clock at [now]. */
        fun describeLease(
            worker: WorkerRecord,
            now: Long,
        ): String {
            val clock = worker.clockAtLeast(now, slowPerMille = 0)
            val bounds = "lease=${timeOrNone(
                worker.grantedUntil,
            )} clock=${timeOrNone(clock)} inherited=${timeOrNone(worker.inheritedUntil)}"
            return "$bounds fenced=${worker.fenced} known=${ageOf(worker.knownSince, now)} unanswered=${worker.unansweredCalls}"
        }

        private fun timeOrNone(millis: Long): String = if (millis < 0) "none" else "$millis"

        private fun ageOf(
            time: Long,
            now: Long,
        ): String = if (time < 0) "never" else "${now - time}ms"
    }
}
