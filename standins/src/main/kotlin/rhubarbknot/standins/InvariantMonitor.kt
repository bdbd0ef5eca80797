package rhubarbknot.standins

import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.Resources

/** A task of a job, whatever the attempt. */
data class TaskKey(
    val job: JobId,
    val task: Int,
)

/** What went wrong, counted from outside the daemons. */
data class Violations(
    val doubled: Int,
    val overcommitted: Int,
    val ceilingBreaches: Int,
    val startsInDrainedZone: Int,
    val servedForWithdrawnKey: Int,
)

/** Watches stand-ins and counts what must never happen. It knows nothing of how the daemons decide. */
class InvariantMonitor(
    private val clock: () -> Long,
) {
    private class Active(
        val info: ExecutorInfo,
        val spec: JobSpec,
    )

    private val active = HashMap<AttemptId, Active>()
    private val startsOf = HashMap<TaskKey, Int>()
    private val used = HashMap<ExecutorId, Resources>()
    private val runningOf = HashMap<String, Int>()
    private val ceilings = HashMap<String, Int>()
    private val drainedSince = HashMap<String, Long>()
    private val forbidden = HashSet<String>()
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

    /** Nothing may start in [zone] from [graceMillis] from now on. */
    @Synchronized
    fun markZoneDrained(
        zone: String,
        graceMillis: Long,
    ) {
        drainedSince[zone] = clock() + graceMillis
    }

    @Synchronized
    fun markZoneInService(zone: String) {
        drainedSince.remove(zone)
    }

    /** The job with [localId] was submitted under a key that had been withdrawn. */
    @Synchronized
    fun mustNotRun(localId: String) {
        forbidden.add(localId)
    }

    @Synchronized
    fun started(
        info: ExecutorInfo,
        zone: String,
        attempt: AttemptId,
        spec: JobSpec,
    ) {
        val key = TaskKey(attempt.job, attempt.task)
        val starts = startsOf.merge(key, 1, Int::plus) ?: 1
        val elsewhere = active.keys.any { it.job == attempt.job && it.task == attempt.task }
        if (elsewhere || (starts > 1 && !spec.idempotent)) doubled++
        active[attempt] = Active(info, spec)
        startTimes.putIfAbsent(attempt.job, clock())
        val sum = (used[info.id] ?: Resources.NONE) + spec.need
        used[info.id] = sum
        if (!sum.fitsIn(info.capacity)) overcommitted++
        val team = attempt.job.team.name
        val running = runningOf.merge(team, 1, Int::plus) ?: 1
        if (running > (ceilings[team] ?: Int.MAX_VALUE)) ceilingBreaches++
        if (clock() > (drainedSince[zone] ?: Long.MAX_VALUE)) startsInDrainedZone++
        if (attempt.job.local in forbidden) servedForWithdrawnKey++
    }

    @Synchronized
    fun stopped(
        info: ExecutorInfo,
        attempt: AttemptId,
    ) {
        val ended = active.remove(attempt) ?: return
        used[info.id] = (used[info.id] ?: Resources.NONE) - ended.spec.need
        runningOf.merge(attempt.job.team.name, -1, Int::plus)
    }

    /** When a job's first task started, or null. */
    @Synchronized
    fun startOf(localId: String): Long? = startTimes.entries.firstOrNull { it.key.local == localId }?.value

    /** Where a job runs at present, or null. */
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
