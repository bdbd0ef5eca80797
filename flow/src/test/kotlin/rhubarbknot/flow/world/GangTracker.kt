package rhubarbknot.flow.world

import rhubarbknot.flow.model.RunId

/** Tracks the running members of gangs across all workers. A gang makes progress only while all its members run. */
internal class GangTracker {
    private class Gang(
        val size: Int,
    ) {
        val startedMembers = HashSet<Int>()
        var completeAt = Long.MAX_VALUE
        var isBroken = false
        var isDone = false
    }

    private data class GangKey(
        val job: String,
        val step: Int,
        val run: Int,
    )

    private val gangs = HashMap<GangKey, Gang>()

    private fun gangOf(run: RunId) = gangs[GangKey(run.task.job, run.task.step, run.number)]

    /** Records that a member of a gang of [size] started at [now]. */
    fun memberStarted(
        run: RunId,
        size: Int,
        now: Long,
    ) {
        val gang = gangs.getOrPut(GangKey(run.task.job, run.task.step, run.number)) { Gang(size) }
        gang.startedMembers += run.task.index
        if (gang.startedMembers.size == gang.size) gang.completeAt = minOf(gang.completeAt, now)
    }

    /** Time at which all members of the gang of [run] had started; [Long.MAX_VALUE] if they have not. */
    fun completeAt(run: RunId): Long = gangOf(run)?.completeAt ?: Long.MAX_VALUE

    fun isBroken(run: RunId): Boolean = gangOf(run)?.isBroken ?: false

    fun isDone(run: RunId): Boolean = gangOf(run)?.isDone ?: false

    /** Records the end of a member. It breaks the gang unless the gang is done. */
    fun memberEnded(
        run: RunId,
        isDone: Boolean,
    ) {
        val gang = gangOf(run) ?: return
        if (isDone) {
            gang.isDone = true
        } else if (!gang.isDone) {
            gang.isBroken = true
        }
    }
}
