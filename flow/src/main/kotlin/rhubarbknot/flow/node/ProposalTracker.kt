package rhubarbknot.flow.node

import rhubarbknot.flow.state.FlowCommand

/** Origin of a request: the process that received it, by address and incarnation, and the number assigned by that process. */
internal data class Caller(
    val address: String,
    val incarnation: Long,
    val number: Long,
) {
    constructor(process: NodeIdentity, number: Long) : this(process.address, process.incarnation, number)
}

/** A command for the log and the caller that waits for it; null for commands of the leader itself. */
internal class Proposal(
    val command: FlowCommand,
    val caller: Caller?,
) {
    /** The job that the command accepts; null for another command. */
    val submittedJob: String? = (command as? FlowCommand.Submit)?.request?.id

    /** Size of the texts that make a command large. */
    val textBytes: Long =
        when (command) {
            is FlowCommand.Configure ->
                command.configuration.document.length
                    .toLong()
            is FlowCommand.Submit ->
                command.request.payload.length
                    .toLong()
            else -> 0
        }
}

/** Tracks commands until they are committed, and the callers that wait for them. */
internal class ProposalTracker {
    private val queued = ArrayList<Proposal>()
    private val pendingByIndex = HashMap<Long, Proposal>()
    private var textBytes = 0L
    private val submissions = HashMap<String, Int>()

    /** Whether the acceptance of [job] is in progress. */
    fun isSubmitting(job: String): Boolean = job in submissions

    /** Whether no appended command is waiting to be committed. */
    val isIdle: Boolean get() = pendingByIndex.isEmpty()

    /** Whether [proposal] may be added: the commands in progress are held in memory several times. */
    fun hasRoomFor(proposal: Proposal): Boolean = textBytes == 0L || textBytes + proposal.textBytes <= MAX_TEXT_BYTES

    fun add(proposal: Proposal) {
        queued += proposal
        began(proposal)
    }

    private fun began(proposal: Proposal) {
        textBytes += proposal.textBytes
        proposal.submittedJob?.let { submissions.merge(it, 1, Int::plus) }
    }

    private fun ended(proposal: Proposal) {
        textBytes -= proposal.textBytes
        proposal.submittedJob?.let { submissions.computeIfPresent(it) { _, count -> (count - 1).takeIf { left -> left > 0 } } }
    }

    /** Returns the proposals added since the last call. */
    fun takeQueued(): List<Proposal> {
        if (queued.isEmpty()) return emptyList()
        val result = ArrayList(queued)
        queued.clear()
        result.forEach { ended(it) }
        return result
    }

    /** Records that [batch] was appended to this replica's log from index [first] on. */
    fun appended(
        first: Long,
        batch: List<Proposal>,
    ) = batch.forEachIndexed { i, proposal ->
        pendingByIndex[first + i] = proposal
        began(proposal)
    }

    /** Removes the [count] commands from index [first] on, which the log rejected. */
    fun rejected(
        first: Long,
        count: Int,
    ) = repeat(count) { remove(first + it) }

    /** Records that the entry at [index] is committed and returns the caller that waited for it, if any. */
    fun committed(index: Long): Caller? = remove(index)?.caller

    private fun remove(index: Long): Proposal? = pendingByIndex.remove(index)?.also { ended(it) }

    /** Drops all uncommitted commands after the loss of leadership and returns the callers whose outcome is unknown here. */
    fun abandonAll(): List<Caller> {
        val result = pendingByIndex.values.mapNotNull { it.caller }
        pendingByIndex.values.forEach { ended(it) }
        pendingByIndex.clear()
        return result
    }

    private companion object {
        /** One configuration of the largest size that an operator may send. */
        const val MAX_TEXT_BYTES = 4L * 1024 * 1024
    }
}
