package rhubarbknot.core.overload

/** Order in which waiting work gets the room of a pool. */
fun interface WaitingOrder {
    /** Ranks [work] at [now]; lower ranks go first. Ranks of different orders are comparable, but say nothing about each other. */
    fun rank(
        work: PendingWork,
        now: Long,
    ): WorkRank
}

/** Position of waiting work in a [WaitingOrder]: its keys are compared one after the other. Equal ranks are for the caller to break. */
class WorkRank(
    private vararg val keys: Double,
) : Comparable<WorkRank> {
    override fun compareTo(other: WorkRank): Int {
        for (i in 0 until minOf(keys.size, other.keys.size)) {
            val result = keys[i].compareTo(other.keys[i])
            if (result != 0) return result
        }
        return keys.size.compareTo(other.keys.size)
    }

    override fun equals(other: Any?): Boolean = other is WorkRank && keys.contentEquals(other.keys)

    override fun hashCode(): Int = keys.contentHashCode()

    override fun toString(): String = keys.joinToString(prefix = "WorkRank(", postfix = ")")

    companion object {
        /** Before all ranks of any order. */
        val FIRST = WorkRank(Double.NEGATIVE_INFINITY)
    }
}
