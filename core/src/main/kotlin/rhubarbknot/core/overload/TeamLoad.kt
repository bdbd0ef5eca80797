package rhubarbknot.core.overload

/**
 * What one team has waiting in a pool, and the room that it can count on.
 *
 * @property guaranteedMilliCpus its share of the pool by weight among the teams with waiting work, in thousandths of a core.
 * @property ceilingMilliCpus the most that its runs may use together, in thousandths of a core; [Long.MAX_VALUE] for no limit.
 * @property waitingCoreMillis cores times milliseconds of its accepted work that has not started and can still matter, for each priority.
 */
data class TeamLoad(
    val guaranteedMilliCpus: Long,
    val ceilingMilliCpus: Long,
    val waitingCoreMillis: Map<Int, Long>,
) {
    /** Work of [priority] and of higher ones, in cores times milliseconds. */
    fun coreMillisBefore(priority: Int): Long = waitingCoreMillis.entries.filter { it.key <= priority }.sumOf { it.value }
}
