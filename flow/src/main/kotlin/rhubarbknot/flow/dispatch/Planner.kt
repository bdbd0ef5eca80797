package rhubarbknot.flow.dispatch

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunId
import rhubarbknot.flow.model.StepSpec
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.state.Assignment
import rhubarbknot.flow.state.FlowState
import rhubarbknot.flow.state.Job

/** A run that the planner places, with the ticket that it needs. */
internal class PlannedRun(
    val assignment: Assignment,
    val worker: WorkerRecord,
    val team: String,
    val queue: String,
    val demand: Resources,
    val ticket: String,
)

/**
 * Decides which waiting tasks start where: urgent queues first, then the oldest job; within a worker the tightest fit.
 * Steps whose tickets are missing or have run out are asked about, as far as there is room for them.
 */
internal class Planner(
    private val state: FlowState,
    private val eligibility: EligibilityDesk,
    private val use: TeamUse,
) {
    /** Places what can be placed on [workers], which lists only those that may be given work. */
    fun plan(
        workers: List<WorkerRecord>,
        runOf: (TaskId) -> RunRecord?,
        now: Long,
    ): List<PlannedRun> {
        val configuration = state.configuration ?: return emptyList()
        val free = HashMap<WorkerRecord, Resources>()
        workers.forEach { free[it] = it.free }
        val out = ArrayList<PlannedRun>()
        val byPool = workers.groupBy { it.report?.pool }
        candidates(configuration, runOf).forEach { candidate ->
            val pool = byPool[candidate.queue.pool].orEmpty()
            val placed = place(candidate, configuration, pool, free, now)
            placed.forEach { run ->
                free[run.worker] = free.getValue(run.worker) - run.demand
                use.add(run.team, run.demand)
            }
            out += placed
        }
        return out
    }

    private fun candidates(
        configuration: Configuration,
        runOf: (TaskId) -> RunRecord?,
    ): List<Candidate> {
        val out = ArrayList<Candidate>()
        val queues = configuration.queues.associateBy { it.name }
        state.liveJobs.forEach { job ->
            val queue = queues[job.request.queue]
            if (queue == null || job.phase.isFinal) return@forEach
            job.steps.forEachIndexed { index, step ->
                if (step.isDone || !job.isReady(index)) return@forEachIndexed
                val waiting =
                    step.tasks.indices.filter { i ->
                        val task = step.tasks[i]
                        !task.done && task.worker == null && runOf(TaskId(job.id, 0, index, i)) == null
                    }
                if (waiting.isNotEmpty()) out += Candidate(job, queue, index, waiting, runOf)
            }
        }
        out.sortWith(compareBy({ it.queue.priority }, { it.job.acceptedAtMillis }))
        return out
    }

    private fun place(
        candidate: Candidate,
        configuration: Configuration,
        pool: List<WorkerRecord>,
        free: Map<WorkerRecord, Resources>,
        now: Long,
    ): List<PlannedRun> {
        val spec = candidate.spec
        val wholeGang = !spec.gang || candidate.waiting.size == spec.count
        if (!wholeGang) return emptyList()
        val able = pool.filter { spec.label.isEmpty() || spec.label in it.report!!.labels }
        val ceiling = configuration.team(candidate.job.request.team)?.ceiling ?: Resources.NONE
        if (!fitsCeiling(use.of(candidate.job.request.team) + spec.demand, ceiling)) return emptyList()
        val tickets = candidate.queue.eligibility?.let { tickets(candidate, able, free, now) ?: return emptyList() }
        return choose(candidate, able, free, ceiling, tickets)
    }

    /** Valid tickets of [able] workers; null while the service has to be asked first. */
    private fun tickets(
        candidate: Candidate,
        able: List<WorkerRecord>,
        free: Map<WorkerRecord, Resources>,
        now: Long,
    ): Map<WorkerRecord, Ticket>? {
        val terms = checkNotNull(candidate.queue.eligibility)
        val key = StepKey(candidate.job.id, candidate.step)
        val record = eligibility.track(key, terms, candidate.queue.priority)
        if (record.questionOpen) return null
        val roomy = able.filter { candidate.spec.demand.fitsIn(free.getValue(it)) }
        val unknown = able.filter { it.life !in record.asked }
        if (record.asked.isEmpty()) {
            eligibility.ask(key, able.sortedByDescending { free.getValue(it).milliCpus }.take(MAX_NAMED).map { it.life })
            return null
        }
        val valid = roomy.mapNotNull { w -> record.valid(w.life, now)?.let { w to it } }.toMap()
        val fits = valid.keys.sumOf { slotsOn(it, candidate, free) }
        val wanted = if (candidate.spec.gang) candidate.spec.count else 1
        if (fits >= wanted) return valid
        val stale = roomy.filter { it.life in record.tickets && it !in valid }
        val again = (valid.keys + stale + unknown.filter { it in roomy }).take(MAX_NAMED)
        val reachable = again.sumOf { slotsOn(it, candidate, free) }
        if (again.size > valid.size && reachable >= wanted) eligibility.ask(key, again.map { it.life })
        return null
    }

    private fun slotsOn(
        worker: WorkerRecord,
        candidate: Candidate,
        free: Map<WorkerRecord, Resources>,
    ): Int {
        val spec = candidate.spec
        val room = free.getValue(worker)
        val byCpu = if (spec.demand.milliCpus > 0) room.milliCpus / spec.demand.milliCpus else spec.count
        val byMemory = if (spec.demand.memoryMb > 0) room.memoryMb / spec.demand.memoryMb else spec.count
        val most = minOf(byCpu, byMemory, spec.count)
        return if (spec.spreadLimit > 0) minOf(most, spec.spreadLimit) else most
    }

    private fun choose(
        candidate: Candidate,
        able: List<WorkerRecord>,
        free: Map<WorkerRecord, Resources>,
        ceiling: Resources,
        tickets: Map<WorkerRecord, Ticket>?,
    ): List<PlannedRun> {
        val spec = candidate.spec
        val team = candidate.job.request.team
        val open = able.filter { tickets == null || it in tickets }
        val room = HashMap<WorkerRecord, Resources>()
        val onWorker = if (spec.spreadLimit > 0) candidate.countByWorker() else HashMap()
        val out = ArrayList<PlannedRun>()
        var teamUse = use.of(team)
        val nextRun = if (spec.gang) candidate.tasks.maxOf { it.run } + 1 else 0
        for (index in candidate.waiting) {
            if (!fitsCeiling(teamUse + spec.demand, ceiling)) break
            val worker =
                open
                    .filter {
                        spec.demand.fitsIn(room[it] ?: free.getValue(it)) &&
                            (spec.spreadLimit == 0 || (onWorker[it.life.id] ?: 0) < spec.spreadLimit)
                    }.minByOrNull { (room[it] ?: free.getValue(it)).milliCpus } ?: break
            room[worker] = (room[worker] ?: free.getValue(worker)) - spec.demand
            onWorker.merge(worker.life.id, 1, Int::plus)
            teamUse += spec.demand
            val number = if (spec.gang) nextRun else candidate.tasks[index].run + 1
            val run = RunId(TaskId(candidate.job.id, 0, candidate.step, index), number)
            out +=
                PlannedRun(
                    Assignment(run, worker.life),
                    worker,
                    team,
                    candidate.queue.name,
                    spec.demand,
                    tickets?.get(worker)?.text.orEmpty(),
                )
        }
        return if (spec.gang && out.size < spec.count) emptyList() else out
    }

    private fun fitsCeiling(
        use: Resources,
        ceiling: Resources,
    ): Boolean =
        (ceiling.milliCpus == 0 || use.milliCpus <= ceiling.milliCpus) &&
            (ceiling.memoryMb == 0 || use.memoryMb <= ceiling.memoryMb) &&
            (ceiling.accelerators == 0 || use.accelerators <= ceiling.accelerators)

    private class Candidate(
        val job: Job,
        val queue: Queue,
        val step: Int,
        val waiting: List<Int>,
        private val runOf: (TaskId) -> RunRecord?,
    ) {
        val spec: StepSpec get() = job.request.steps[step]
        val tasks get() = job.steps[step].tasks

        /** Runs of the step that may exist or are about to be proposed, by worker. */
        fun countByWorker(): HashMap<String, Int> {
            val out = HashMap<String, Int>()
            tasks.indices.forEach { i -> runOf(TaskId(job.id, 0, step, i))?.let { out.merge(it.worker.life.id, 1, Int::plus) } }
            return out
        }
    }

    private companion object {
        /** Most workers that the eligibility service takes in one question. */
        const val MAX_NAMED = 100
    }
}
