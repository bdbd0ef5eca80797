package rhubarbknot.flow.dispatch

/** The tracked runs of one step. */
internal class StepRuns {
    private val all = LinkedHashSet<RunRecord>()
    private val proposed = HashSet<RunRecord>()
    private val byWorker = HashMap<String, Int>()
    private var stoppedGang = 0
    private var stoppedUnstarted = 0

    val records: Collection<RunRecord> get() = all
    val isEmpty: Boolean get() = all.isEmpty()

    /** Number of runs whose assignment is not committed yet. */
    val proposedCount: Int get() = proposed.size

    /** Number of runs on the worker called [id], in any of its incarnations. */
    fun countOn(id: String): Int = byWorker[id] ?: 0

    fun add(record: RunRecord) {
        all += record
        if (record.stage == RunStage.PROPOSED) proposed += record
        byWorker.merge(record.worker.incarnation.id, 1, Int::plus)
    }

    fun remove(record: RunRecord) {
        if (!all.remove(record)) return
        proposed -= record
        // A run only moves between incarnations with the same id.
        byWorker.merge(record.worker.incarnation.id, -1) { a, b -> (a + b).takeIf { it > 0 } }
    }

    /** Records that the assignment of [record] is committed. */
    fun committed(record: RunRecord) {
        proposed -= record
    }

    /**
     * Whether the members of the gang with run [number] were stopped before, or those that have not started if [onlyUnstarted]; they
     * count as stopped from now on. All members are assigned together, so none joins later.
     */
    fun isGangStopped(
        number: Int,
        onlyUnstarted: Boolean,
    ): Boolean {
        if (stoppedGang == number || (onlyUnstarted && stoppedUnstarted == number)) return true
        if (onlyUnstarted) stoppedUnstarted = number else stoppedGang = number
        return false
    }
}
