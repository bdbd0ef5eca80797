package rhubarbknot.flow.state

import rhubarbknot.flow.model.StepSpec
import java.util.BitSet
import java.util.TreeMap

/**
 * What decisions need to know of the steps of a job, derived from their state and updated with each change. A change costs as much as
 * the steps and tasks that it concerns, so that no event needs a pass over a whole job.
 */
internal class JobProgress(
    specs: List<StepSpec>,
    private val states: List<Step>,
) {
    private val steps = states.mapIndexed { i, step -> StepProgress(step.tasks, countsFailures = !specs[i].gang) }
    private val successors = StepSuccessors.of(specs)

    /** For each step, the number of its dependencies that are not done. */
    private val openDependencies = IntArray(states.size) { i -> specs[i].after.count { !states[it].isDone } }
    private val startableSteps = BitSet()

    /** Number of runs that may exist on workers. */
    var activeRuns = states.sumOf { step -> step.tasks.count { it.worker != null } }
        private set

    /** Number of steps that are not done. */
    var stepsLeft = states.count { !it.isDone }
        private set

    init {
        states.indices.forEach { stepChanged(it) }
    }

    val hasStartableSteps: Boolean get() = !startableSteps.isEmpty

    fun step(index: Int): StepProgress = steps[index]

    fun isReady(index: Int): Boolean = openDependencies[index] == 0

    /** Index of the first step from [from] on that can be started and has unassigned tasks; -1 for none. */
    fun nextStartableStep(from: Int): Int = startableSteps.nextSetBit(from)

    fun runAssigned(step: Int) {
        activeRuns++
        stepChanged(step)
    }

    fun runReleased(step: Int) {
        activeRuns--
        stepChanged(step)
    }

    /** Records that a task of [step] is done. */
    fun taskDone(step: Int) {
        if (states[step].isDone) stepDone(step) else stepChanged(step)
    }

    private fun stepDone(step: Int) {
        stepsLeft--
        startableSteps.clear(step)
        successors?.forEachOf(step) {
            openDependencies[it]--
            stepChanged(it)
        }
    }

    private fun stepChanged(step: Int) {
        startableSteps.set(step, isReady(step) && !states[step].isDone && steps[step].unassignedCount > 0)
    }

    companion object {
        /** Shared by all jobs that are over. */
        val NONE = JobProgress(emptyList(), emptyList())
    }
}

/** The steps that depend on each step, in arrays, since a job can have more than a hundred thousand dependencies. */
private class StepSuccessors(
    private val starts: IntArray,
    private val targets: IntArray,
) {
    inline fun forEachOf(
        step: Int,
        action: (Int) -> Unit,
    ) {
        for (i in starts[step] until starts[step + 1]) action(targets[i])
    }

    companion object {
        /** Returns the successors of the steps of [specs]; null if no step depends on another. */
        fun of(specs: List<StepSpec>): StepSuccessors? {
            val count = specs.sumOf { it.after.size }
            if (count == 0) return null
            val starts = IntArray(specs.size + 1)
            specs.forEach { spec -> spec.after.forEach { starts[it + 1]++ } }
            for (i in specs.indices) starts[i + 1] += starts[i]
            val next = starts.copyOf()
            val targets = IntArray(count)
            specs.forEachIndexed { step, spec -> spec.after.forEach { targets[next[it]++] = step } }
            return StepSuccessors(starts, targets)
        }
    }
}

/**
 * The part of [JobProgress] that concerns one step: its tasks that are not done and have no worker, their failures, and the crashes of
 * workers under tasks that are not done.
 *
 * @param countsFailures whether each task has failures of its own.
 */
internal class StepProgress(
    tasks: List<Task>,
    private val countsFailures: Boolean,
) {
    private val unassigned = BitSet(tasks.size)
    private val failures = Tally()
    private val crashes = Tally()
    private var suspects = 0

    /** Number of tasks that are not done and have no worker. */
    var unassignedCount = 0
        private set

    /** Highest number of failures of one unassigned task. */
    val maxFailures: Int get() = failures.max

    /** Highest number of workers that crashed under one task that is not done. */
    val maxCrashes: Int get() = crashes.max

    /** Whether a task that is not done may crash the workers that start it. */
    val isCrashSuspect: Boolean get() = suspects > 0

    init {
        tasks.forEachIndexed { i, task ->
            if (!task.done && task.worker == null) unassign(i, task)
            if (!task.done) task.crashRecord?.let { addCrashes(it) }
        }
    }

    /** Index of the first unassigned task from [from] on; -1 for none. */
    fun nextUnassigned(from: Int): Int = unassigned.nextSetBit(from)

    /** Adds [task], which is not done and has no worker. */
    fun unassign(
        index: Int,
        task: Task,
    ) {
        unassigned.set(index)
        unassignedCount++
        if (countsFailures) failures.add(task.failures)
    }

    /** Removes [task] if it is unassigned. */
    fun remove(
        index: Int,
        task: Task,
    ) {
        if (!unassigned.get(index)) return
        unassigned.clear(index)
        unassignedCount--
        if (countsFailures) failures.remove(task.failures)
    }

    /** Counts one more failure of [task]. */
    fun countFailure(
        index: Int,
        task: Task,
    ) {
        val isTallied = countsFailures && unassigned.get(index)
        if (isTallied) failures.remove(task.failures)
        task.failures++
        if (isTallied) failures.add(task.failures)
    }

    /** Applies [change] to [record], the crashes under a task that is not done. */
    inline fun changeCrashes(
        record: CrashRecord,
        change: (CrashRecord) -> Unit,
    ) {
        removeCrashes(record)
        change(record)
        addCrashes(record)
    }

    fun addCrashes(record: CrashRecord) {
        crashes.add(record.crashes)
        if (record.isSuspect) suspects++
    }

    fun removeCrashes(record: CrashRecord) {
        crashes.remove(record.crashes)
        if (record.isSuspect) suspects--
    }
}

/** How often each positive number occurs, to know the highest one. */
private class Tally {
    private var counts: TreeMap<Int, Int>? = null

    /** The highest number; 0 for none. */
    val max: Int get() = counts?.takeIf { it.isNotEmpty() }?.lastKey() ?: 0

    fun add(number: Int) {
        if (number <= 0) return
        val tree = counts ?: TreeMap<Int, Int>().also { counts = it }
        tree.merge(number, 1, Int::plus)
    }

    fun remove(number: Int) {
        if (number > 0) counts?.merge(number, -1) { a, b -> (a + b).takeIf { it > 0 } }
    }
}
