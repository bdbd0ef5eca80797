package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources

/**
 * Checks a start against the room of its worker at the moment it is sent. The room may have shrunk since the run was placed or
 * since the start was last sent, and workers need not check it themselves.
 */
internal class RoomGuard(
    private val settings: DispatchSettings,
) {
    /** What to do with a start that is due. */
    enum class Verdict {
        SEND,

        /** It may fit once other runs have ended, or once the worker reports again. */
        WAIT,

        /** It does not fit and must not be sent. */
        WITHDRAW,
    }

    /**
     * Verdict on the start of [run] on [worker] at [now], where runs that demand [present] may be present. A start whose outcome is
     * unknown counts as started.
     */
    fun check(
        run: RunRecord,
        worker: WorkerRecord,
        present: Resources,
        now: Long,
    ): Verdict {
        val isReportCurrent = now - worker.reportedAt <= settings.reportTimeoutMillis
        val total = if (run.mayBePresent) present else present + run.demand
        val isFitting = total.fitsIn(worker.capacity)
        return when {
            isFitting && isReportCurrent -> Verdict.SEND
            !run.startUncertain -> Verdict.WITHDRAW
            isFitting || fitsBesidePrecedent(run, worker) -> Verdict.WAIT
            else -> Verdict.WITHDRAW
        }
    }

    private fun fitsBesidePrecedent(
        run: RunRecord,
        worker: WorkerRecord,
    ): Boolean {
        val precedent = worker.runs.values.filter { it !== run && it.mayBePresent && hasPrecedence(it, run) }
        return precedent.fold(run.demand) { sum, other -> sum + other.demand }.fitsIn(worker.capacity)
    }

    /** Whether [other] keeps its room if it does not suffice for both: it runs, or it was placed before [run] and is not stopped. */
    private fun hasPrecedence(
        other: RunRecord,
        run: RunRecord,
    ): Boolean =
        when {
            other.stage != RunStage.STARTING -> true
            other.stopWanted -> false
            else -> other.committedAt < run.committedAt || (other.committedAt == run.committedAt && order.compare(other, run) < 0)
        }

    private companion object {
        val order = compareBy<RunRecord>({ it.run.task.job }, { it.run.task.step }, { it.run.task.index })
    }
}
