package rhubarbknot.flow.node

import rhubarbknot.flow.state.FlowCommand

/** Who asked for something, at which process, under which number of that process. */
internal data class Caller(
    val address: String,
    val number: Long,
)

/** A command for the log, and who waits for it; nobody does for the leader's own. */
internal class Proposal(
    val command: FlowCommand,
    val caller: Caller?,
)

/** Commands on their way into the log, and the callers that wait for them. */
internal class ProposalTracker {
    private val waiting = ArrayList<Proposal>()
    private val pending = HashMap<Long, Proposal>()

    /** Whether nobody waits for a command to be committed. */
    val isIdle: Boolean get() = pending.isEmpty()

    fun add(proposal: Proposal) {
        waiting += proposal
    }

    /** Everything that was added since the last call. */
    fun takeAll(): List<Proposal> {
        if (waiting.isEmpty()) return emptyList()
        val out = ArrayList(waiting)
        waiting.clear()
        return out
    }

    /** [batch] is in this replica's log from index [first] on. */
    fun proposed(
        first: Long,
        batch: List<Proposal>,
    ) = batch.forEachIndexed { i, proposal -> pending[first + i] = proposal }

    /** The log took none of the [count] commands from index [first] on. */
    fun withdrawn(
        first: Long,
        count: Int,
    ) = repeat(count) { pending.remove(first + it) }

    /** The entry at [index] is committed; who waited for it, if anybody did. */
    fun committed(index: Long): Caller? = pending.remove(index)?.caller

    /** This replica does not lead any more: the callers that will not learn here what became of their commands. */
    fun abandoned(): List<Caller> {
        val out = pending.values.mapNotNull { it.caller }
        pending.clear()
        return out
    }
}
