package rhubarbknot.core.overload

/** Whether a job is accepted. */
sealed interface AdmissionDecision {
    data object Accept : AdmissionDecision

    /**
     * The job would wait for too long to matter.
     *
     * @property expectedStart when it would start, in milliseconds.
     * @property uselessAfter time after which its result is worth nothing.
     * @property retryAfterMillis time after which the backlog has drained far enough, if nothing more is accepted.
     */
    data class Refuse(
        val expectedStart: Long,
        val uselessAfter: Long,
        val retryAfterMillis: Long,
    ) : AdmissionDecision
}

/**
 * Refuses work that can't be done any more in time to matter to its caller, because of the work that goes before it.
 *
 * A job waits for the work of its priority and of higher ones, but no longer than its team's share of the pool takes for the team's own
 * work, and no shorter than the ceiling of the team allows. Thus low priorities, tight deadlines and large jobs are refused first, and
 * what one team submits costs other teams nothing. Only part of the estimated times is assumed, since callers' estimates are rough.
 */
object AdmissionPolicy {
    /** A process may pass on an earlier copy of a refused job for this long, so the job must not be accepted before. */
    const val MIN_RETRY_MILLIS = 3_000L

    /** Load is not foreseen for longer. */
    const val MAX_RETRY_MILLIS = 60_000L
    private const val MAX_DRAIN_MILLIS = 40_000L

    /** Callers who are refused at the same time return within a time of at least this length. */
    private const val MIN_SPREAD_MILLIS = 2_000L
    private const val SPREAD_DIVISOR = 2
    private const val ASSUMED_TENTHS = 7
    private const val TENTHS = 10

    /** Decides on the job [id], which needs [work], at [now]; [team] is null for a job without one. */
    fun decide(
        id: String,
        work: PendingWork,
        load: PoolLoad,
        team: TeamLoad?,
        now: Long,
    ): AdmissionDecision {
        if (!load.isOversubscribed) return AdmissionDecision.Accept
        val waitMillis = waitMillis(work.priority, load, team) ?: return AdmissionDecision.Accept
        val usefulMillis = ((work.uselessAfter - now) * maxOf(1.0, work.estimateFactor)).toLong()
        val longestWaitMillis = usefulMillis * TENTHS / ASSUMED_TENTHS - ownMillis(work, load, team)
        // A job that is too long for its own deadline gains nothing by coming back later.
        if (longestWaitMillis < 0 || waitMillis <= longestWaitMillis) return AdmissionDecision.Accept
        return AdmissionDecision.Refuse(now + waitMillis, work.uselessAfter, retryAfterMillis(id, waitMillis - longestWaitMillis))
    }

    /** Time until all work that goes before a new job of [priority] has started; null without workers. */
    fun waitMillis(
        priority: Int,
        load: PoolLoad,
        team: TeamLoad?,
    ): Long? {
        val poolMillis = load.drainMillis(priority) ?: return null
        if (team == null) return poolMillis
        val ownCoreMillis = team.coreMillisBefore(priority)
        val byShare = minOf(poolMillis, drainMillis(ownCoreMillis, team.guaranteedMilliCpus))
        return maxOf(byShare, drainMillis(ownCoreMillis, team.ceilingMilliCpus))
    }

    /** Time that the job itself takes with all the room that it may get. */
    private fun ownMillis(
        work: PendingWork,
        load: PoolLoad,
        team: TeamLoad?,
    ): Long {
        val milliCpus = minOf(load.drainMilliCpus, team?.ceilingMilliCpus ?: Long.MAX_VALUE)
        return maxOf(work.remainingMillis, drainMillis(work.remainingCoreMillis, milliCpus))
    }

    /** A time to return once [excessMillis] of the backlog have drained; callers are spread by the [id]s of their jobs. */
    fun retryAfterMillis(
        id: String,
        excessMillis: Long,
    ): Long {
        val earliest = minOf(MAX_DRAIN_MILLIS, MIN_RETRY_MILLIS + excessMillis.coerceIn(0, MAX_DRAIN_MILLIS))
        val spread = maxOf(MIN_SPREAD_MILLIS, earliest / SPREAD_DIVISOR)
        return earliest + Math.floorMod(mixed(id.hashCode()).toLong(), spread)
    }

    /** Spreads the hash codes of similar ids evenly (the finalizer of MurmurHash3). */
    private fun mixed(hash: Int): Int {
        var h = hash
        h = (h xor (h ushr 16)) * -0x7a143595
        h = (h xor (h ushr 13)) * -0x3d4d51cb
        return h xor (h ushr 16)
    }
}
