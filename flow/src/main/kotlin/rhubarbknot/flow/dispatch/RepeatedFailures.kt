package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.TaskId

/**
 * Tasks whose runs failed one after the other. The first failure may be the fault of the worker; a task that fails again, wherever it
 * runs, is itself the likely cause. Restarts of lasting tasks, whose number is not limited, are then delayed by an exponential backoff.
 */
internal class RepeatedFailures {
    /**
     * Failures of one task in a row.
     *
     * @property notBefore when the task may be started again.
     */
    private class Record(
        val count: Int,
        val endedAt: Long,
        val notBefore: Long,
    )

    private val byStep = HashMap<StepKey, HashMap<Int, Record>>()

    /** Records at [now] that a run of [task] failed; returns whether an earlier run of it had failed shortly before. */
    fun record(
        task: TaskId,
        now: Long,
    ): Boolean {
        val records = recordsOf(task, now)
        val count = (records[task.index]?.count ?: 0) + 1
        records[task.index] = Record(count, endedAt = now, notBefore = now)
        return count > 1
    }

    /**
     * Records at [now] that a run of the lasting [task] ended by itself after [ranMillis]; returns whether a run of any task of its step
     * had done so shortly before. A run that lasted for long enough is no repetition.
     */
    fun recordLasting(
        task: TaskId,
        ranMillis: Long,
        now: Long,
    ): Boolean {
        val records = recordsOf(task, now)
        val isRepeat = records.isNotEmpty()
        val count = if (ranMillis >= STABLE_MILLIS) 1 else (records[task.index]?.count ?: 0) + 1
        val delayMillis = if (count == 1) 0 else FIRST_DELAY_MILLIS shl minOf(count - 2, MAX_DOUBLINGS)
        records[task.index] = Record(count, endedAt = now, notBefore = now + delayMillis)
        return isRepeat
    }

    private fun recordsOf(
        task: TaskId,
        now: Long,
    ): HashMap<Int, Record> {
        val records = byStep.getOrPut(StepKey(task.job, task.step)) { HashMap() }
        records.values.removeIf { now - it.endedAt > MEMORY_MILLIS }
        return records
    }

    /** Number of tasks of [step] whose restarts are delayed beyond [now]. */
    fun delayedCount(
        step: StepKey,
        now: Long,
    ): Int = byStep[step]?.values?.count { it.notBefore > now } ?: 0

    /** Whether the restart of task [index] of [step] is delayed beyond [now]. */
    fun isDelayed(
        step: StepKey,
        index: Int,
        now: Long,
    ): Boolean = (byStep[step]?.get(index)?.notBefore ?: 0) > now

    /** Highest number of repeated failures of those tasks of [step] for which [isWaiting] holds; the first failure is none. */
    fun highestRepeats(
        step: StepKey,
        isWaiting: (index: Int) -> Boolean,
    ): Int = byStep[step]?.maxOfOrNull { (index, record) -> if (isWaiting(index)) record.count - 1 else 0 } ?: 0

    fun removeJob(job: String) {
        if (byStep.isNotEmpty()) byStep.keys.removeIf { it.job == job }
    }

    private companion object {
        const val FIRST_DELAY_MILLIS = 250L

        /** The longest delay is 4 s: a task that lasts has to run again within 6 s. */
        const val MAX_DOUBLINGS = 4

        /** A lasting task that has run for this long was started successfully. */
        const val STABLE_MILLIS = 10_000L

        /** Above the longest delay and the time of a stable run: a task that ended longer ago has run well since, or waits for room. */
        const val MEMORY_MILLIS = 15_000L
    }
}
