package rhubarbknot.flow.node

import rhubarbknot.flow.state.FlowCommand

/** Origin of a request: the process that received it and the number assigned by that process. */
internal data class Caller(
    val address: String,
    val number: Long,
)

/** A command for the log and the caller that waits for it; null for commands of the leader itself. */
internal class Proposal(
    val command: FlowCommand,
    val caller: Caller?,
)

/** Tracks commands until they are committed, and the callers that wait for them. */
internal class ProposalTracker {
    private val queued = ArrayList<Proposal>()
    private val pendingByIndex = HashMap<Long, Proposal>()

    /** Whether no appended command is waiting to be committed. */
    val isIdle: Boolean get() = pendingByIndex.isEmpty()

    fun add(proposal: Proposal) {
        queued += proposal
    }

    /** Returns the proposals added since the last call. */
    fun takeQueued(): List<Proposal> {
        if (queued.isEmpty()) return emptyList()
        val result = ArrayList(queued)
        queued.clear()
        return result
    }

    /** Records that [batch] was appended to this replica's log from index [first] on. */
    fun appended(
        first: Long,
        batch: List<Proposal>,
    ) = batch.forEachIndexed { i, proposal -> pendingByIndex[first + i] = proposal }

    /** Removes the [count] commands from index [first] on, which the log rejected. */
    fun rejected(
        first: Long,
        count: Int,
    ) = repeat(count) { pendingByIndex.remove(first + it) }

    /** Records that the entry at [index] is committed and returns the caller that waited for it, if any. */
    fun committed(index: Long): Caller? = pendingByIndex.remove(index)?.caller

    /** Drops all uncommitted commands after the loss of leadership and returns the callers whose outcome is unknown here. */
    fun abandonAll(): List<Caller> {
        val result = pendingByIndex.values.mapNotNull { it.caller }
        pendingByIndex.clear()
        return result
    }
}
