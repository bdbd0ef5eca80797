package rhubarbknot.flow.world

import rhubarbknot.flow.model.RunId

/** Which members of gangs are present, over all workers: a gang works only from the moment when all of them are. */
internal class GangTracker {
    private class Gang(
        val size: Int,
    ) {
        val present = HashSet<Int>()
        var completeAt = Long.MAX_VALUE
        var isBroken = false
        var isDone = false
    }

    private data class Key(
        val job: String,
        val step: Int,
        val run: Int,
    )

    private val gangs = HashMap<Key, Gang>()

    private fun of(run: RunId) = gangs[Key(run.task.job, run.task.step, run.number)]

    /** A member of a gang of [size] starts at [now]. */
    fun joined(
        run: RunId,
        size: Int,
        now: Long,
    ) {
        val gang = gangs.getOrPut(Key(run.task.job, run.task.step, run.number)) { Gang(size) }
        gang.present += run.task.index
        if (gang.present.size == gang.size) gang.completeAt = minOf(gang.completeAt, now)
    }

    /** When all members of the gang of [run] were present; never yet is the largest number. */
    fun completeAt(run: RunId): Long = of(run)?.completeAt ?: Long.MAX_VALUE

    fun isBroken(run: RunId): Boolean = of(run)?.isBroken ?: false

    fun isDone(run: RunId): Boolean = of(run)?.isDone ?: false

    /** A member ended; the others can't go on, unless the gang is done. */
    fun ended(
        run: RunId,
        isDone: Boolean,
    ) {
        val gang = of(run) ?: return
        if (isDone) {
            gang.isDone = true
        } else if (!gang.isDone) {
            gang.isBroken = true
        }
    }
}
