package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Codec
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.Team
import rhubarbknot.flow.model.WorkerCrash
import rhubarbknot.flow.model.WorkerIncarnation
import java.util.TreeMap
import java.util.TreeSet

/** Outcome of applying a command. */
sealed interface FlowOutcome {
    data object Applied : FlowOutcome

    /** The configuration was not newer than the one in force. */
    data object Superseded : FlowOutcome

    /** The job is stored, by this command or an earlier one. */
    data object Accepted : FlowOutcome

    data object NoSuchJob : FlowOutcome

    /** The proposed runs that may be started; the others are invalid because the state changed in the meantime. */
    data class Assigned(
        val runs: List<Assignment>,
    ) : FlowOutcome
}

/**
 * Replicated state machine: the configuration, drained zones, jobs and the worker on which each run may exist. It is
 * deterministic: the same commands produce the same [snapshot] bytes on every replica.
 */
class FlowState(
    private val retentionMillis: Long = DEFAULT_RETENTION_MILLIS,
) {
    var configuration: Configuration? = null
        private set
    private val drained = TreeSet<String>()
    private val jobs = LinkedHashMap<String, Job>()
    private val liveJobIds = LinkedHashSet<String>()
    private val acceptedQueues = AcceptedQueues()
    private val removedTeams = RemovedTeams()
    private val startable = TreeMap<Long, Job>()

    /** Jobs that are over and of which no run may exist. */
    private val finished = TreeSet(compareBy<Job>({ it.finishedAtMillis }, { it.sequence }))
    private var lastSequence = 0L
    private val runsByWorker = HashMap<WorkerIncarnation, LinkedHashMap<TaskId, Int>>()

    /** Availability zones in which no run may be started. */
    val drainedZones: Set<String> get() = drained

    /** Jobs that are not final or of which a run may still exist, in order of acceptance. */
    val liveJobs: Sequence<Job> get() = liveJobIds.asSequence().map { jobs.getValue(it) }

    /**
     * First job accepted after the one with the sequence number [after] that has a step whose dependencies are done with tasks that
     * have no worker; null for none. Each job is found by its number, so that a search may pause and go on after changes.
     */
    fun nextStartableJob(after: Long): Job? = startable.higherEntry(after)?.value

    /** Number of [liveJobs]. */
    val liveJobCount: Int get() = liveJobIds.size

    /** Estimated heap of all jobs, finished ones included, in bytes; see [JobMemory]. */
    var heldBytes = 0L
        private set

    private val heldBytesByTeam = HashMap<String, Long>()

    /** The part of [heldBytes] that the unfinished jobs of [team] take. */
    fun heldBytesOf(team: String): Long = heldBytesByTeam[team] ?: 0

    /** What [heldBytes] would be after a submission at [atMillis], which removes what need not be remembered any longer. */
    fun heldBytesAt(atMillis: Long): Long =
        heldBytes - finished.asSequence().takeWhile { it.finishedAtMillis <= atMillis - retentionMillis }.sumOf { it.heldBytes }

    /** Worker incarnations on which a run may exist. */
    val occupiedWorkers: Set<WorkerIncarnation> get() = runsByWorker.keys

    fun job(id: String): Job? = jobs[id]

    /** Number of unfinished jobs in [queue] of which no run is known to have started. */
    fun pending(queue: Queue): Int = acceptedQueues.pending(queue)

    /** The team [name] in force, or its last settings if it was removed. */
    fun team(name: String): Team? = configuration?.team(name) ?: removedTeams[name]

    /** Whether unfinished jobs need the workers of [pool], which the configuration in force need not name. */
    fun needsPool(pool: String): Boolean = acceptedQueues.needPool(pool)

    /** Tasks of which a run may exist on [worker], with the run numbers. */
    fun runsOn(worker: WorkerIncarnation): Map<TaskId, Int> = runsByWorker[worker].orEmpty()

    fun apply(command: FlowCommand): FlowOutcome =
        when (command) {
            is FlowCommand.Configure -> configure(command.configuration)
            is FlowCommand.SetZone -> {
                if (command.drained) drained.add(command.zone) else drained.remove(command.zone)
                FlowOutcome.Applied
            }
            is FlowCommand.Submit -> submit(command)
            is FlowCommand.Cancel -> cancel(command)
            is FlowCommand.Assign -> FlowOutcome.Assigned(command.runs.filter { assign(it) })
            is FlowCommand.Ended -> {
                command.startedJobs.forEach { id -> jobs[id]?.let { markStarted(it) } }
                command.crash?.let { recordCrash(it, command.atMillis) }
                command.ends.forEach { applyRunEnd(it, command.atMillis) }
                FlowOutcome.Applied
            }
        }

    private fun configure(next: Configuration): FlowOutcome {
        if (next.version <= (configuration?.version ?: Long.MIN_VALUE)) return FlowOutcome.Superseded
        removedTeams.configured(configuration, next)
        acceptedQueues.configured(next)
        configuration = next
        return FlowOutcome.Applied
    }

    private fun submit(command: FlowCommand.Submit): FlowOutcome {
        val request = command.request
        if (request.id in jobs) return FlowOutcome.Accepted
        removeFinishedBefore(command.atMillis - retentionMillis)
        val job = Job(request, command.atMillis, request.steps.map { step -> Step(List(step.count) { Task() }) })
        job.sequence = ++lastSequence
        jobs[request.id] = job
        addLive(job, acceptedQueues.of(command.queue ?: queueNamed(request.queue), configuration))
        return FlowOutcome.Accepted
    }

    /** The queue called [name] in force; if there is none, a queue of which only the name is known. */
    private fun queueNamed(name: String): Queue = configuration?.queue(name) ?: Queue(name, host = "", pathPrefix = "", pool = "")

    private fun addLive(
        job: Job,
        queue: AcceptedQueue,
    ) {
        job.accepted = queue
        setHeldBytes(job, JobMemory.ofAccepted(job.request))
        heldBytesByTeam.merge(job.request.team, job.heldBytes, Long::plus)
        liveJobIds.add(job.id)
        acceptedQueues.addJob(queue)
        removedTeams.addJob(job.request.team)
        if (job.isPending) queue.pending++
        updateStartable(job)
    }

    private fun removeLive(job: Job) {
        val queue = job.accepted ?: return
        job.accepted = null
        heldBytesByTeam.merge(job.request.team, -job.heldBytes) { a, b -> (a + b).takeIf { it > 0 } }
        liveJobIds.remove(job.id)
        acceptedQueues.removeJob(queue)
        removedTeams.removeJob(job.request.team)
    }

    private fun removeFinishedBefore(cutoffMillis: Long) {
        while (finished.isNotEmpty() && finished.first().finishedAtMillis <= cutoffMillis) {
            val job = finished.pollFirst() ?: return
            jobs.remove(job.id)
            setHeldBytes(job, 0)
        }
    }

    private fun addFinished(job: Job) {
        finished.add(job)
        setHeldBytes(job, JobMemory.FINISHED_BYTES)
    }

    private fun setHeldBytes(
        job: Job,
        bytes: Long,
    ) {
        heldBytes += bytes - job.heldBytes
        job.heldBytes = bytes
    }

    private fun cancel(command: FlowCommand.Cancel): FlowOutcome {
        val job = jobs[command.job] ?: return FlowOutcome.NoSuchJob
        if (!job.phase.isFinal) finish(job, JobPhase.CANCELLED, command.atMillis)
        return FlowOutcome.Accepted
    }

    private fun finish(
        job: Job,
        phase: JobPhase,
        atMillis: Long,
    ) {
        changePending(job) { job.phase = phase }
        job.finishedAtMillis = atMillis
        updateStartable(job)
        retireIfInactive(job)
    }

    private fun updateStartable(job: Job) {
        if (job.hasStartableSteps) startable.putIfAbsent(job.sequence, job) else startable.remove(job.sequence)
    }

    private fun markStarted(job: Job) = changePending(job) { job.started = true }

    /** Applies [change] to [job] and keeps the count of the pending jobs of its queue. */
    private fun changePending(
        job: Job,
        change: () -> Unit,
    ) {
        val wasPending = job.isPending
        change()
        if (wasPending && !job.isPending) job.accepted?.let { it.pending-- }
    }

    private fun retireIfInactive(job: Job) {
        if (!job.phase.isFinal || job.mayHaveActiveRuns) return
        if (job.accepted == null) return
        removeLive(job)
        job.retire()
        addFinished(job)
    }

    private fun assign(assignment: Assignment): Boolean {
        val id = assignment.run.task
        val job = jobs[id.job] ?: return false
        if (!job.assign(assignment.run, assignment.worker)) return false
        updateStartable(job)
        runsByWorker.getOrPut(assignment.worker) { LinkedHashMap() }[id] = assignment.run.number
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        return true
    }

    private fun applyRunEnd(
        end: RunEnd,
        atMillis: Long,
    ) {
        val id = end.run.task
        val job = jobs[id.job] ?: return
        val task = job.task(id) ?: return
        if (end.ending.showsStart || end.checkpoint.isNotEmpty()) markStarted(job)
        if (end.checkpoint.isNotEmpty()) job.storeCheckpoint(id, end.checkpoint)
        // A worker that was given up may list an end as done before the task is started again: then it needs no other run.
        if (end.run.number != task.run || (task.worker == null && end.ending != RunOutcome.DONE)) return
        release(job, id)
        val spec = job.request.steps[id.step]
        when (end.ending) {
            RunOutcome.DONE -> if (!spec.lasting) job.markDone(id)
            RunOutcome.FAILED -> recordFailure(job, id, atMillis)
            else -> Unit
        }
        updateStartable(job)
        retireIfInactive(job)
        if (!job.phase.isFinal && job.isDone) finish(job, JobPhase.COMPLETED, atMillis)
    }

    private fun release(
        job: Job,
        id: TaskId,
    ) {
        val worker = job.release(id) ?: return
        val workerRuns = runsByWorker[worker] ?: return
        workerRuns.remove(id)
        if (workerRuns.isEmpty()) runsByWorker.remove(worker)
    }

    private fun recordFailure(
        job: Job,
        id: TaskId,
        atMillis: Long,
    ) {
        val failures = job.countFailure(id) ?: return
        val isLimited = !job.request.steps[id.step].lasting && job.task(id)?.done == false
        val attemptLimit = job.queue?.maxAttempts ?: Int.MAX_VALUE
        if (failures >= attemptLimit && !job.phase.isFinal && isLimited) finish(job, JobPhase.FAILED, atMillis)
    }

    private fun recordCrash(
        crash: WorkerCrash,
        atMillis: Long,
    ) = crash.runs.forEach { run ->
        val job = jobs[run.task.job]
        val task = job?.task(run.task)
        if (job == null || task == null || task.done || job.phase.isFinal) return@forEach
        if (job.countCrash(crash, run)) finish(job, JobPhase.FAILED, atMillis)
    }

    /** Encodes the whole state for [restore]. */
    fun snapshot(): ByteArray {
        val queues = acceptedQueues.all
        val positions = queues.withIndex().associate { (i, queue) -> queue to i }
        jobs.values.forEach { job -> job.queueIndex = job.accepted?.let { positions.getValue(it) } ?: -1 }
        return Codec.encode(Image.serializer(), Image(configuration, drained.toList(), jobs.values.toList(), queues, removedTeams.all))
    }

    /** Replaces the state with the snapshot [bytes]; an empty array stands for the empty state. */
    fun restore(bytes: ByteArray) {
        val image = if (bytes.isEmpty()) Image() else Codec.decode(Image.serializer(), bytes)
        configuration = image.configuration
        drained.clear()
        drained.addAll(image.drained)
        jobs.clear()
        liveJobIds.clear()
        startable.clear()
        finished.clear()
        heldBytes = 0
        heldBytesByTeam.clear()
        runsByWorker.clear()
        acceptedQueues.restore(image.queues)
        removedTeams.restore(image.removedTeams)
        image.jobs.forEach { indexJob(it, image.queues.getOrNull(it.queueIndex)) }
    }

    /** Adds [job] of a snapshot, which tells its [queue] unless an earlier version made it. */
    private fun indexJob(
        job: Job,
        queue: AcceptedQueue?,
    ) {
        job.normaliseGangs()
        job.sequence = ++lastSequence
        jobs[job.id] = job
        if (job.hasStartedTask()) job.started = true
        val isLive = !job.phase.isFinal || job.mayHaveActiveRuns
        if (isLive) {
            addLive(job, queue ?: acceptedQueues.of(queueNamed(job.request.queue), configuration))
        } else {
            addFinished(job)
        }
        job.steps.forEachIndexed { stepIndex, step ->
            step.tasks.forEachIndexed { taskIndex, task ->
                val worker = task.worker
                if (worker != null) runsByWorker.getOrPut(worker) { LinkedHashMap() }[TaskId(job.id, 0, stepIndex, taskIndex)] = task.run
            }
        }
    }

    @Serializable
    private class Image(
        val configuration: Configuration? = null,
        val drained: List<String> = emptyList(),
        val jobs: List<Job> = emptyList(),
        val queues: List<AcceptedQueue> = emptyList(),
        val removedTeams: List<Team> = emptyList(),
    )

    private companion object {
        const val DEFAULT_RETENTION_MILLIS = 300_000L
    }
}
