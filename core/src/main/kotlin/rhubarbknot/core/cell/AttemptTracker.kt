package rhubarbknot.core.cell

import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.Outcome
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.WaitReason
import rhubarbknot.core.model.WorkKind

/** Tracks executors and the attempts on them, and decides how the end of an attempt affects its job. */
internal class AttemptTracker(
    private val index: CellIndex,
    private val lifecycle: JobLifecycle,
    private val estimates: Estimates,
    private val effects: MutableList<CellEffect>,
) {
    private val state get() = index.state
    private val policy get() = index.policy
    private val now get() = index.state.now

    fun join(command: CellCommand.Join) {
        val info = command.info
        val present = state.executors[info.id]
        if (present != null && present.info.incarnation == info.incarnation) {
            if (info.session <= present.info.session) return
            present.info = present.info.copy(session = info.session)
            reconcile(present, command.known)
        } else {
            if (present != null) remove(present)
            add(info)
        }
        command.known.forEach { report -> handleReport(info, report) }
        resolveUnstarted(info, command.known)
    }

    private fun add(info: ExecutorInfo) {
        val executor = Executor(index.nextSlot(), info)
        executor.statusAt = now
        state.executors[info.id] = executor
        index.assignSlot(executor)
        index.addTotal(executor, 1)
        index.executorsChanged()
        index.capacityFreed(executor)
    }

    private fun reconcile(
        executor: Executor,
        known: List<AttemptReport>,
    ) {
        val reports = known.associateBy { it.attempt }
        bySubmission(executor.running).forEach { task ->
            val report = reports[task.attempt]
            when {
                report == null -> end(task, AttemptReport(task.attempt, AttemptState.NOT_STARTED))
                report.state != AttemptState.RUNNING -> end(task, report)
                else -> task.stop?.let { effects += CellEffect.Stop(executor.info.id, task.attempt, it) }
            }
        }
    }

    private fun bySubmission(tasks: List<Task>): List<Task> = tasks.sortedWith(compareBy({ it.job.seq }, { it.index }))

    private fun handleReport(
        info: ExecutorInfo,
        report: AttemptReport,
    ) {
        if (report.state != AttemptState.RUNNING) {
            ended(info.id, report)
        } else if (taskOf(info.id, report) == null) {
            effects += CellEffect.Stop(info.id, report.attempt, StopMode.KILL)
        }
    }

    /** Resolves lost attempts that the same incarnation of the executor does not report: they never reached it. */
    private fun resolveUnstarted(
        info: ExecutorInfo,
        known: List<AttemptReport>,
    ) {
        val attempts = known.map { it.attempt }.toSet()
        index.lost.toList().forEach { job ->
            val unstarted =
                job.lost.orEmpty().filter {
                    it.executor == info.id && it.incarnation == info.incarnation && AttemptId(job.id, it.index, it.number) !in attempts
                }
            unstarted.forEach { resolve(job, it, AttemptReport(AttemptId(job.id, it.index, it.number), AttemptState.NOT_STARTED)) }
        }
    }

    fun leave(id: ExecutorId) {
        val executor = state.executors[id] ?: return
        index.quarantined.remove(executor)
        executor.status = ExecutorStatus.LEAVING
        executor.statusAt = now
        releaseReservation(executor)
        index.reindex(executor)
    }

    fun lose(
        id: ExecutorId,
        incarnation: String,
    ) {
        val executor = state.executors[id] ?: return
        if (executor.info.incarnation == incarnation) remove(executor)
    }

    private fun remove(executor: Executor) {
        val jobs = LinkedHashSet<Job>()
        bySubmission(executor.running).forEach { task ->
            val job = task.job
            jobs.add(job)
            lifecycle.release(task)
            if (job.spec.idempotent) requeueLost(task, executor) else markLost(task, executor)
        }
        releaseReservation(executor)
        index.quarantined.remove(executor)
        // The free capacity index may still hold this object in its history of freed executors.
        executor.status = ExecutorStatus.LEAVING
        index.addTotal(executor, -1)
        index.releaseSlot(executor)
        state.executors.remove(executor.info.id)
        index.executorsChanged()
        jobs.forEach { job ->
            dissolveGang(job)
            lifecycle.finishIfDone(job)
        }
    }

    private fun requeue(
        task: Task,
        executorLosses: Int = task.executorLosses,
    ) {
        task.job.requeue(Retry(task.index, task.number, task.failures, executorLosses))
    }

    /** Requeues [task], whose [executor] is gone, unless it seems to crash each executor that starts it. */
    private fun requeueLost(
        task: Task,
        executor: Executor,
    ) {
        val isUnexpected = executor.status != ExecutorStatus.LEAVING && now - task.startedAt <= policy.crashWindowMillis
        val losses = if (isUnexpected) task.executorLosses + 1 else 0
        if (losses < policy.maxExecutorLosses) {
            requeue(task, losses)
        } else {
            fail(task.job, "given up: $losses executors ended in a row shortly after it had started")
        }
    }

    private fun handleNotStarted(task: Task) {
        task.job.begun--
        requeue(task)
    }

    private fun markLost(
        task: Task,
        executor: Executor,
    ) {
        val job = task.job
        val list = job.lost ?: ArrayList<LostTask>(1).also { job.lost = it }
        list.add(LostTask(task.index, task.number, executor.info.id, executor.info.incarnation))
        index.lost.add(job)
    }

    private fun releaseReservation(executor: Executor) {
        val job = executor.reservedFor?.let { state.jobs[it] } ?: return
        index.unreserve(job)
    }

    /** Stops the remaining tasks of a gang that lost one; the gang is started again as a whole. */
    private fun dissolveGang(job: Job) {
        if (!job.spec.gang || job.isOver) return
        job.active.filter { it.stop == null }.forEach { lifecycle.stop(it, StopMode.CHECKPOINT, now + policy.checkpointGraceMillis) }
    }

    private fun taskOf(
        executor: ExecutorId,
        report: AttemptReport,
    ): Task? {
        val attempt = report.attempt
        val task = state.jobs[attempt.job]?.activeTask(attempt.task, attempt.number) ?: return null
        return task.takeIf { index.executor(it.slot).info.id == executor }
    }

    fun ended(
        executor: ExecutorId,
        report: AttemptReport,
    ) {
        if (report.state == AttemptState.RUNNING) return
        val task = taskOf(executor, report)
        if (task != null) {
            end(task, report)
        } else {
            resolveLost(executor, report)
        }
        effects += CellEffect.EndRecorded(executor, report.attempt)
    }

    private fun resolveLost(
        executor: ExecutorId,
        report: AttemptReport,
    ) {
        val job = state.jobs[report.attempt.job] ?: return
        val lost =
            job.lost?.firstOrNull {
                it.index == report.attempt.task && it.number == report.attempt.number && it.executor == executor
            }
        if (lost != null) resolve(job, lost, report)
    }

    /** Applies the [report] on a [lost] task. */
    private fun resolve(
        job: Job,
        lost: LostTask,
        report: AttemptReport,
    ) {
        val remaining = checkNotNull(job.lost)
        remaining.remove(lost)
        if (remaining.isEmpty()) {
            job.lost = null
            index.lost.remove(job)
        }
        when (report.state) {
            AttemptState.COMPLETED -> complete(job, lost.index, report.text)
            AttemptState.NOT_STARTED -> resolveNotStarted(job)
            else -> fail(job, report.text.ifEmpty { "stopped when its executor lost touch" })
        }
        lifecycle.finishIfDone(job)
    }

    private fun resolveNotStarted(job: Job) {
        job.begun--
        if (job.mayHaveRun) {
            fail(job, "one task never started")
        } else {
            lifecycle.finish(job, Outcome.NotRun(RefusalReason.ZONE_UNREACHABLE, "the start never reached its executor"))
        }
    }

    private fun end(
        task: Task,
        report: AttemptReport,
    ) {
        val job = task.job
        val executor = index.executor(task.slot)
        lifecycle.release(task)
        when (report.state) {
            AttemptState.COMPLETED -> handleCompleted(task, executor, report)
            AttemptState.FAILED -> handleFailed(task, executor, report.text)
            AttemptState.NOT_STARTED -> handleNotStarted(task)
            else -> handleStopped(task, report)
        }
        if (report.state != AttemptState.COMPLETED) dissolveGang(job)
        lifecycle.finishIfDone(job)
    }

    private fun handleCompleted(
        task: Task,
        executor: Executor,
        report: AttemptReport,
    ) {
        val millis = now - task.startedAt
        executor.failures.clear()
        if (executor.status == ExecutorStatus.PROBATION) setStatus(executor, ExecutorStatus.ACTIVE)
        executor.meanMillis += (millis - executor.meanMillis) / if (executor.meanMillis == 0.0) 1.0 else MEAN_SMOOTHING
        estimates.recordRunTime(task.job, millis)
        complete(task.job, task.index, report.text)
    }

    private fun complete(
        job: Job,
        task: Int,
        text: String,
    ) {
        job.completed++
        if (text.isEmpty()) return
        val answers = job.answers ?: ArrayList<TaskAnswer>(1).also { job.answers = it }
        answers.add(TaskAnswer(task, text))
    }

    private fun fail(
        job: Job,
        error: String,
    ) {
        job.failed++
        if (job.failure == null) job.failure = error
    }

    private fun handleStopped(
        task: Task,
        report: AttemptReport,
    ) {
        val job = task.job
        when {
            job.cancelled -> Unit
            task.stop == StopMode.THROTTLE -> fail(job, "stopped: it used more than it had declared")
            job.spec.idempotent -> {
                requeue(task)
                if (task.stop != null) {
                    job.backlog.team.day
                        .at(now)
                        .preempted++
                    lifecycle.refresh(job)
                    lifecycle.setOwnReason(job, WaitReason.MAKING_ROOM)
                }
            }
            else -> fail(job, report.text.ifEmpty { "stopped before it had ended" })
        }
    }

    private fun handleFailed(
        task: Task,
        executor: Executor,
        error: String,
    ) {
        val job = task.job
        recordFailure(job, executor)
        val failures = task.failures + 1
        if (!job.spec.idempotent || job.cancelled) {
            fail(job, error)
            return
        }
        if (isFaultyJob(job)) {
            failFaultyJob(job, error)
            return
        }
        if (failures >= policy.maxTries) {
            fail(job, error)
            return
        }
        job.requeue(Retry(task.index, task.number, failures))
        job.backlog.team.day
            .at(now)
            .retries++
        lifecycle.refresh(job)
        backOff(job, failures)
    }

    private fun backOff(
        job: Job,
        failures: Int,
    ) {
        val base = minOf(policy.backoffMaxMillis, policy.backoffMillis shl minOf(failures - 1, MAX_DOUBLINGS))
        val jittered = base / 2 + nextRandom(base / 2 + 1)
        val budgetWait = job.backlog.team.retryDelay(now)
        val reason = if (budgetWait > jittered) WaitReason.RETRY_BUDGET_USED else WaitReason.RETRY_BACKOFF
        lifecycle.delay(job, now + maxOf(jittered, budgetWait), reason)
    }

    private fun nextRandom(bound: Long): Long {
        val random = java.util.SplittableRandom(state.random)
        state.random = random.nextLong()
        return random.nextLong(bound)
    }

    private fun recordFailure(
        job: Job,
        executor: Executor,
    ) {
        val executors = job.failedOn ?: ArrayList<ExecutorId>(1).also { job.failedOn = it }
        if (executor.info.id !in executors) executors.add(executor.info.id)
        if (executor.failures.size < MAX_FAILURES_KEPT) executor.failures.add(job.id)
        if (executor.status == ExecutorStatus.PROBATION || isFaultyExecutor(executor)) quarantine(executor)
    }

    private fun isFaultyExecutor(executor: Executor): Boolean =
        executor.status == ExecutorStatus.ACTIVE &&
            executor.failures.size >= policy.quarantineAfter &&
            executor.failures.distinct().size >= policy.quarantineJobs

    private fun quarantine(executor: Executor) {
        val maxQuarantined = state.executors.size * policy.quarantinePercent / PERCENT
        if (index.quarantined.size >= maxQuarantined) return
        setStatus(executor, ExecutorStatus.QUARANTINED)
        index.quarantined.add(executor)
        releaseReservation(executor)
        index.reindex(executor)
    }

    private fun setStatus(
        executor: Executor,
        status: ExecutorStatus,
    ) {
        executor.status = status
        executor.statusAt = now
        index.capacityFreed(executor)
    }

    /** Puts executors on probation once their quarantine is over; they then get one task at a time. */
    fun endQuarantines() {
        val expired = index.quarantined.filter { now - it.statusAt >= policy.quarantineMillis }
        expired.forEach { executor ->
            index.quarantined.remove(executor)
            setStatus(executor, ExecutorStatus.PROBATION)
        }
    }

    private fun isFaultyJob(job: Job): Boolean = job.completed == 0 && job.failedOn.orEmpty().size >= policy.maxTries

    /** Fails a job that failed on many executors and succeeded on none, and removes its failures from their records. */
    private fun failFaultyJob(
        job: Job,
        error: String,
    ) {
        job.failedOn.orEmpty().forEach { id -> state.executors[id]?.failures?.removeAll { it == job.id } }
        job.cancelled = true
        fail(job, "failed on ${job.failedOn.orEmpty().size} executors: $error")
        job.failure = "failed on ${job.failedOn.orEmpty().size} executors: $error"
        job.active.toList().forEach { lifecycle.stop(it, StopMode.KILL, now + Admission.KILL_REPEAT_MILLIS) }
    }

    /** Throttles a task that uses more than it declared; it is killed if that continues after a grace period. */
    fun usage(
        attempt: AttemptId,
        used: Resources,
    ) {
        val task = state.jobs[attempt.job]?.activeTask(attempt.task, attempt.number) ?: return
        estimates.recordUsage(task.job, used)
        val fits = used.fitsIn(task.job.spec.need)
        if (fits && task.stop == StopMode.THROTTLE) lifecycle.withdrawStop(task)
        if (fits || task.stop != null || task.job.spec.kind == WorkKind.CALL) return
        lifecycle.stop(task, StopMode.THROTTLE, now + policy.limitGraceMillis)
    }

    private companion object {
        const val MEAN_SMOOTHING = 8.0
        const val MAX_DOUBLINGS = 10
        const val MAX_FAILURES_KEPT = 16
        const val PERCENT = 100
    }
}
