package rhubarbknot.flow.state

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Codec
import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.model.RunEnd
import rhubarbknot.flow.model.RunOutcome
import rhubarbknot.flow.model.TaskId
import rhubarbknot.flow.model.WorkerIncarnation
import java.util.TreeMap
import java.util.TreeSet

/** What applying a command came to. */
sealed interface FlowOutcome {
    data object Applied : FlowOutcome

    /** The configuration was not newer than the one in force. */
    data object Superseded : FlowOutcome

    /** The job is stored, now or since an earlier request. */
    data object Accepted : FlowOutcome

    data object NoSuchJob : FlowOutcome

    /** Of the runs proposed, these may be started; the others were overtaken by something else. */
    data class Assigned(
        val runs: List<Assignment>,
    ) : FlowOutcome
}

/**
 * State that the replicated log drives: the configuration, drained zones, jobs and where each run may be. It is
 * deterministic: the same commands give the same bytes of [snapshot] on every replica.
 */
class FlowState(
    private val retentionMillis: Long = DEFAULT_RETENTION_MILLIS,
) {
    var configuration: Configuration? = null
        private set
    private val drained = TreeSet<String>()
    private val jobs = LinkedHashMap<String, Job>()
    private val unfinished = LinkedHashSet<String>()
    private val queued = TreeMap<String, Int>()
    private val placed = HashMap<WorkerIncarnation, LinkedHashMap<TaskId, Int>>()

    /** Availability zones in which nothing may be started. */
    val drainedZones: Set<String> get() = drained

    /** Jobs that are not over, or of which a run may still exist, in order of acceptance. */
    val liveJobs: Sequence<Job> get() = unfinished.asSequence().map { jobs.getValue(it) }

    /** How many [liveJobs] there are. */
    val liveJobCount: Int get() = unfinished.size

    /** Lives of workers on which a run may exist. */
    val occupiedWorkers: Set<WorkerIncarnation> get() = placed.keys

    fun job(id: String): Job? = jobs[id]

    /** Jobs of [queue] of which nothing has started. */
    fun pending(queue: String): Int = queued[queue] ?: 0

    /** Runs that may exist on [worker], with their numbers. */
    fun runsOn(worker: WorkerIncarnation): Map<TaskId, Int> = placed[worker].orEmpty()

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
                command.ends.forEach { ended(it, command.atMillis) }
                FlowOutcome.Applied
            }
        }

    private fun configure(next: Configuration): FlowOutcome {
        if (next.version <= (configuration?.version ?: Long.MIN_VALUE)) return FlowOutcome.Superseded
        configuration = next
        return FlowOutcome.Applied
    }

    private fun submit(command: FlowCommand.Submit): FlowOutcome {
        val request = command.request
        if (request.id in jobs) return FlowOutcome.Accepted
        forgetOlderThan(command.atMillis - retentionMillis)
        jobs[request.id] = Job(request, command.atMillis, request.steps.map { step -> Step(List(step.count) { Task() }) })
        unfinished.add(request.id)
        queued.merge(request.queue, 1, Int::plus)
        return FlowOutcome.Accepted
    }

    private fun forgetOlderThan(millis: Long) {
        val oldest = jobs.values.iterator()
        while (oldest.hasNext()) {
            val job = oldest.next()
            if (!job.phase.isFinal || job.id in unfinished || job.finishedAtMillis > millis) return
            oldest.remove()
        }
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
        setPhase(job, phase)
        job.finishedAtMillis = atMillis
        settle(job)
    }

    private fun setPhase(
        job: Job,
        phase: JobPhase,
    ) {
        if (job.phase == JobPhase.QUEUED && phase != JobPhase.QUEUED) queued.merge(job.request.queue, -1, Int::plus)
        job.phase = phase
    }

    private fun settle(job: Job) {
        if (!job.phase.isFinal || job.mayRun()) return
        unfinished.remove(job.id)
        job.steps = emptyList()
        job.request = job.request.copy(payload = "", steps = emptyList())
    }

    private fun assign(assignment: Assignment): Boolean {
        val id = assignment.run.task
        val job = jobs[id.job] ?: return false
        val task = job.task(id) ?: return false
        val wanted = !job.phase.isFinal && job.isReady(id.step) && !task.done && task.worker == null
        if (!wanted || assignment.run.number <= task.run) return false
        task.run = assignment.run.number
        task.worker = assignment.worker
        placed.getOrPut(assignment.worker) { LinkedHashMap() }[id] = assignment.run.number
        if (job.phase == JobPhase.QUEUED) setPhase(job, JobPhase.RUNNING)
        return true
    }

    private fun ended(
        end: RunEnd,
        atMillis: Long,
    ) {
        val id = end.run.task
        val job = jobs[id.job] ?: return
        val task = job.task(id) ?: return
        if (end.checkpoint.isNotEmpty()) keepCheckpoint(job, id, end.checkpoint)
        if (end.run.number != task.run || task.worker == null) return
        release(id, task)
        val spec = job.request.steps[id.step]
        when (end.ending) {
            RunOutcome.DONE -> if (!spec.lasting) done(job, id)
            RunOutcome.FAILED -> failed(job, id, atMillis)
            else -> Unit
        }
        settle(job)
        if (!job.phase.isFinal && job.steps.all { it.isDone }) finish(job, JobPhase.COMPLETED, atMillis)
    }

    private fun keepCheckpoint(
        job: Job,
        id: TaskId,
        checkpoint: String,
    ) {
        val step = job.steps.getOrNull(id.step) ?: return
        if (job.request.steps[id.step].gang) {
            step.tasks.forEach { it.checkpoint = checkpoint }
        } else {
            step.tasks[id.index].checkpoint =
                checkpoint
        }
    }

    private fun release(
        id: TaskId,
        task: Task,
    ) {
        val worker = task.worker ?: return
        task.worker = null
        val there = placed[worker] ?: return
        there.remove(id)
        if (there.isEmpty()) placed.remove(worker)
    }

    private fun done(
        job: Job,
        id: TaskId,
    ) {
        val step = job.steps[id.step]
        val members = if (job.request.steps[id.step].gang) step.tasks else listOf(step.tasks[id.index])
        members.filter { !it.done }.forEach {
            it.done = true
            step.left--
        }
    }

    private fun failed(
        job: Job,
        id: TaskId,
        atMillis: Long,
    ) {
        val spec = job.request.steps[id.step]
        val tasks = job.steps[id.step].tasks
        val failing = tasks[id.index]
        val members = if (spec.gang) tasks else listOf(failing)
        // Several members of a gang may fail in one run, which is one attempt.
        if (members.any { it.failedRun == failing.run }) return
        val failures = members.maxOf { it.failures } + 1
        members.forEach { it.failures = failures }
        failing.failedRun = failing.run
        val budget = configuration?.queue(job.request.queue)?.maxAttempts ?: Int.MAX_VALUE
        if (failures >= budget && !job.phase.isFinal && !spec.lasting && !failing.done) finish(job, JobPhase.FAILED, atMillis)
    }

    /** The whole state as bytes, for [restore]. */
    fun snapshot(): ByteArray = Codec.encode(Image.serializer(), Image(configuration, drained.toList(), jobs.values.toList()))

    /** Replaces the state with that of [bytes]; no bytes stand for the empty state. */
    fun restore(bytes: ByteArray) {
        val image = if (bytes.isEmpty()) Image() else Codec.decode(Image.serializer(), bytes)
        configuration = image.configuration
        drained.clear()
        drained.addAll(image.drained)
        jobs.clear()
        unfinished.clear()
        queued.clear()
        placed.clear()
        image.jobs.forEach { index(it) }
    }

    private fun index(job: Job) {
        jobs[job.id] = job
        if (!job.phase.isFinal || job.mayRun()) unfinished.add(job.id)
        if (job.phase == JobPhase.QUEUED) queued.merge(job.request.queue, 1, Int::plus)
        job.steps.forEachIndexed { s, step ->
            step.tasks.forEachIndexed { i, task ->
                val worker = task.worker
                if (worker != null) placed.getOrPut(worker) { LinkedHashMap() }[TaskId(job.id, 0, s, i)] = task.run
            }
        }
    }

    @Serializable
    private class Image(
        val configuration: Configuration? = null,
        val drained: List<String> = emptyList(),
        val jobs: List<Job> = emptyList(),
    )

    private companion object {
        const val DEFAULT_RETENTION_MILLIS = 300_000L
    }
}
