package rhubarbknot.flow.dispatch

/**
 * Tells the jobs that a team hands in within its share from those beyond it. Answers the load pattern of one team that
 * sends far more than its weight allows: what it sends beyond waits behind the others' work when all is full.
 */
internal class TeamSubmissionRates {
    private val accepted = HashMap<String, ArrayDeque<Long>>()

    /** Whether a job of [team], accepted at [now], is beyond the [perSecond] jobs that its weight allows. */
    fun isBeyond(
        team: String,
        perSecond: Double,
        now: Long,
    ): Boolean {
        val within = accepted.getOrPut(team) { ArrayDeque() }
        while (within.isNotEmpty() && within.first() <= now - WINDOW_MILLIS) within.removeFirst()
        if (within.size >= perSecond * WINDOW_MILLIS / MILLIS_PER_SECOND * TOLERANCE + SLACK_JOBS) return true
        within.addLast(now)
        return false
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
        const val MILLIS_PER_SECOND = 1_000.0

        /** A tenth over the share, and a few jobs at once, are nothing to hold against a team. */
        const val TOLERANCE = 1.1
        const val SLACK_JOBS = 20
    }
}
