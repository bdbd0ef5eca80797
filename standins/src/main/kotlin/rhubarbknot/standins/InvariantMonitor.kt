package rhubarbknot.standins

import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources

/** Identifies a task of a job across all of its attempts. */
data class TaskKey(
    val job: JobId,
    val task: Int,
)

/** Number of invariant violations of each kind, as observed from outside the daemons. */
data class Violations(
    val doubled: Int,
    val overcommitted: Int,
    val ceilingBreaches: Int,
    val startsInDrainedZone: Int,
    val servedForWithdrawnKey: Int,
)

/** Observes simulated executors and counts invariant violations, independently of the scheduling logic of the daemons. */
class InvariantMonitor(
    private val clock: () -> Long,
) {
    private class ActiveAttempt(
        val info: ExecutorInfo,
        val spec: JobSpec,
    )

    private val active = HashMap<AttemptId, ActiveAttempt>()
    private val startCounts = HashMap<TaskKey, Int>()
    private val usedResources = HashMap<ExecutorId, Resources>()
    private val runningByTeam = HashMap<String, Int>()
    private val ceilings = HashMap<String, Int>()
    private val drainDeadlines = HashMap<String, Long>()
    private val forbiddenJobs = HashSet<String>()
    private var doubled = 0
    private var overcommitted = 0
    private var ceilingBreaches = 0
    private var startsInDrainedZone = 0
    private var servedForWithdrawnKey = 0
    private val startTimes = HashMap<JobId, Long>()

    @Synchronized
    fun setCeiling(
        team: String,
        ceiling: Int,
    ) {
        ceilings[team] = ceiling
    }

    /** Counts every start in [zone] later than [graceMillis] from now as a violation. */
    @Synchronized
    fun markZoneDrained(
        zone: String,
        graceMillis: Long,
    ) {
        drainDeadlines[zone] = clock() + graceMillis
    }

    @Synchronized
    fun markZoneInService(zone: String) {
        drainDeadlines.remove(zone)
    }

    /** Counts every start of the job with [localId] as a violation, because it was submitted with a withdrawn key. */
    @Synchronized
    fun mustNotRun(localId: String) {
        forbiddenJobs.add(localId)
    }

    @Synchronized
    fun started(
        info: ExecutorInfo,
        zone: String,
        attempt: AttemptId,
        spec: JobSpec,
    ) {
        val key = TaskKey(attempt.job, attempt.task)
        val starts = startCounts.merge(key, 1, Int::plus) ?: 1
        val alreadyActive = active.keys.any { it.job == attempt.job && it.task == attempt.task }
        if (alreadyActive || (starts > 1 && !spec.idempotent)) doubled++
        active[attempt] = ActiveAttempt(info, spec)
        startTimes.putIfAbsent(attempt.job, clock())
        val usage = (usedResources[info.id] ?: Resources.NONE) + spec.need
        usedResources[info.id] = usage
        if (!usage.fitsIn(info.capacity)) overcommitted++
        val team = attempt.job.team.name
        val running = runningByTeam.merge(team, 1, Int::plus) ?: 1
        if (running > (ceilings[team] ?: Int.MAX_VALUE)) ceilingBreaches++
        if (clock() > (drainDeadlines[zone] ?: Long.MAX_VALUE)) startsInDrainedZone++
        if (attempt.job.local in forbiddenJobs) servedForWithdrawnKey++
    }

    @Synchronized
    fun stopped(
        info: ExecutorInfo,
        attempt: AttemptId,
    ) {
        val ended = active.remove(attempt) ?: return
        usedResources[info.id] = (usedResources[info.id] ?: Resources.NONE) - ended.spec.need
        runningByTeam.merge(attempt.job.team.name, -1, Int::plus)
    }

    /** Time at which the first task of the job started, or null if none has. */
    @Synchronized
    fun startOf(localId: String): Long? = startTimes.entries.firstOrNull { it.key.local == localId }?.value

    /** Executor that currently runs the job, or null. */
    @Synchronized
    fun executorOf(localId: String): ExecutorId? =
        active.entries
            .firstOrNull { it.key.job.local == localId }
            ?.value
            ?.info
            ?.id

    @Synchronized
    fun violations() = Violations(doubled, overcommitted, ceilingBreaches, startsInDrainedZone, servedForWithdrawnKey)
}
