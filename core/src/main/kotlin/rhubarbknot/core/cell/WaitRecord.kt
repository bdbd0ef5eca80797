package rhubarbknot.core.cell

import rhubarbknot.core.model.WaitInterval

/** Maintains the bounded list of a job's wait intervals. */
internal object WaitRecord {
    private const val MAX_INTERVALS = 12

    /**
     * Adds [next], joined with the last interval if that is adjacent and has the same reason. Beyond [MAX_INTERVALS], the
     * shortest interval is merged into its predecessor.
     */
    fun append(
        list: ArrayList<WaitInterval>,
        next: WaitInterval,
    ) {
        val last = list.lastOrNull()
        if (last != null && last.reason == next.reason && last.until == next.from) {
            list[list.lastIndex] = last.copy(until = next.until)
            return
        }
        list.add(next)
        if (list.size <= MAX_INTERVALS) return
        val shortest = (1 until list.size).minBy { list[it].millis }
        val predecessor = list[shortest - 1]
        list[shortest - 1] = predecessor.copy(until = predecessor.until + list[shortest].millis)
        list.removeAt(shortest)
    }
}
