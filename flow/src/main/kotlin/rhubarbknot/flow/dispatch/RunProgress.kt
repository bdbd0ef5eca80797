package rhubarbknot.flow.dispatch

/** How a run comes on, from what its worker lists again and again. */
internal class RunProgress {
    private var percent = -1
    private var movedAt = 0L

    /** Milliseconds that the whole run takes at the pace between the last two readings that differ; 0 while unknown. */
    var paceMillis = 0L
        private set

    /** Takes a reading of [now] in. */
    fun read(
        next: Int,
        now: Long,
    ) {
        if (percent < 0) {
            percent = next
            movedAt = now
        } else if (next > percent) {
            paceMillis = (now - movedAt) * WHOLE_PERCENT / (next - percent)
            percent = next
            movedAt = now
        }
    }

    /** For how long the run has stood still at [now]; 0 before the first reading. */
    fun stillMillis(now: Long): Long = if (percent < 0) 0 else now - movedAt

    private companion object {
        const val WHOLE_PERCENT = 100L
    }
}
