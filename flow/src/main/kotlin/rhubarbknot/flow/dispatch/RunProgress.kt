package rhubarbknot.flow.dispatch

/** Progress of a run, from the percentages that its worker reports. */
internal class RunProgress {
    private var percent = -1
    private var progressedAt = 0L

    /** Duration of the whole run extrapolated from the last two distinct readings; 0 while unknown. */
    var paceMillis = 0L
        private set

    /** Records the percentage [newPercent] reported at [now]. */
    fun update(
        newPercent: Int,
        now: Long,
    ) {
        if (percent < 0) {
            percent = newPercent
            progressedAt = now
        } else if (newPercent > percent) {
            paceMillis = (now - progressedAt) * WHOLE_PERCENT / (newPercent - percent)
            percent = newPercent
            progressedAt = now
        }
    }

    /** Time since the last progress at [now]; 0 before the first reading. */
    fun stalledMillis(now: Long): Long = if (percent < 0) 0 else now - progressedAt

    private companion object {
        const val WHOLE_PERCENT = 100L
    }
}
