package rhubarbknot.flow.world

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId

/** What must always hold of runs, checked at the workers, which alone know what ran. */
internal class Oracle(
    private val ceiling: Resources,
) {
    private val requests = HashMap<String, JobRequest>()
    private val running = HashMap<TaskId, RunId>()
    private val places = HashMap<TaskId, String>()
    private val done = HashSet<TaskId>()
    private val doneEnds = HashMap<TaskId, ArrayList<DoneEnd>>()
    private var used = Resources.NONE
    private val usedOn = HashMap<String, Resources>()

    /** Broken rules with the time at which they were broken. */
    val broken = ArrayList<String>()
    val starts get() = startCount
    private var startCount = 0L

    fun submitted(request: JobRequest) {
        requests[request.id] = request
    }

    fun started(
        now: Long,
        run: RunId,
        worker: String,
        room: Resources,
    ) {
        startCount++
        val task = run.task
        val request = requests[task.job]
        if (request == null) {
            broken += "$now UNASKED $run"
            return
        }
        val spec = request.steps[task.step]
        places[task]?.let { broken += "$now TWICE $run on $worker while ${running[task]} runs on $it" }
        doneEnds[keyOf(task)]?.filter { !it.isExcused }?.forEach { end ->
            if (end.isNoted) broken += "$now TWICE $run after ${end.run} was done" else end.startsAfter += "$now $run"
        }
        spec.after.filterNot { isStepDone(request, it) }.forEach { broken += "$now ORDER $run before step $it was done" }
        used += spec.demand
        usedOn.merge(worker, spec.demand, Resources::plus)
        if (!usedOn.getValue(worker).fitsIn(room)) broken += "$now LIMIT $run on $worker"
        // One task more than the ceiling is what the rule allows.
        if (!(used - spec.demand).fitsIn(ceiling)) broken += "$now QUOTA $run"
        running[task] = run
        places[task] = worker
    }

    fun ended(
        run: RunId,
        worker: String,
        ending: RunOutcome,
    ) {
        if (running[run.task] != run || places[run.task] != worker) return
        running.remove(run.task)
        places.remove(run.task)
        val request = requests.getValue(run.task.job)
        val spec = request.steps[run.task.step]
        used -= spec.demand
        usedOn.merge(worker, spec.demand) { all, one -> all - one }
        if (ending != RunOutcome.DONE) return
        done += keyOf(run.task)
        doneEnds.getOrPut(keyOf(run.task)) { ArrayList() } += DoneEnd(run)
    }

    /** The end of [run] as done was acknowledged: from the moment when it was done, nothing of it may have started. */
    fun noted(run: RunId) {
        doneEnds[keyOf(run.task)]?.filter { it.run == run && !it.isExcused }?.forEach { end ->
            end.isNoted = true
            end.startsAfter.forEach { broken += "TWICE $it after $run was done, which was noted later" }
        }
    }

    /** Nobody can have learned of the end of [run] in time: its worker was born anew, or its lease ran out first. */
    fun excused(run: RunId) {
        doneEnds[keyOf(run.task)]?.filter { it.run == run && !it.isNoted }?.forEach { it.isExcused = true }
    }

    /** All members of a gang are done when one is. */
    private fun keyOf(task: TaskId): TaskId {
        val isGang = requests.getValue(task.job).steps[task.step].gang
        return if (isGang) task.copy(index = 0) else task
    }

    private class DoneEnd(
        val run: RunId,
    ) {
        var isNoted = false
        var isExcused = false
        val startsAfter = ArrayList<String>()
    }

    private fun isStepDone(
        request: JobRequest,
        step: Int,
    ): Boolean = (0 until request.steps[step].count).all { keyOf(TaskId(request.id, 0, step, it)) in done }

    /** Members of the gang that [task] belongs to; 0 when it is none. */
    fun gangSize(task: TaskId): Int = requests[task.job]?.steps?.get(task.step)?.let { if (it.gang) it.count else 0 } ?: 0

    /** Whether every task of the job called [id] really ended as done. */
    fun isWhole(id: String): Boolean = requests[id]?.let { request -> request.steps.indices.all { isStepDone(request, it) } } ?: false

    /** Whether any of its tasks was ever started. */
    fun hasRun(id: String): Boolean = done.any { it.job == id } || running.keys.any { it.job == id }
}
