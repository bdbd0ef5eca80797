package rhubarbknot.flow.dispatch

/**
 * Decides whether a submitted job is within the share of its team. When one team submits far more than its weight allows
 * and the cluster is full, the excess jobs wait behind the work of other teams.
 */
internal class TeamSubmissionRates {
    private val acceptedAt = HashMap<String, ArrayDeque<Long>>()

    /** Whether a job of [team] accepted at [now] exceeds the [perSecond] jobs that the weight of the team allows. */
    fun exceedsShare(
        team: String,
        perSecond: Double,
        now: Long,
    ): Boolean {
        val withinShare = acceptedAt.getOrPut(team) { ArrayDeque() }
        while (withinShare.isNotEmpty() && withinShare.first() <= now - WINDOW_MILLIS) withinShare.removeFirst()
        if (withinShare.size >= perSecond * WINDOW_MILLIS / MILLIS_PER_SECOND * TOLERANCE + BURST_JOBS) return true
        withinShare.addLast(now)
        return false
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
        const val MILLIS_PER_SECOND = 1_000.0

        /** A tenth above the share and a small burst of jobs are tolerated. */
        const val TOLERANCE = 1.1
        const val BURST_JOBS = 20
    }
}
