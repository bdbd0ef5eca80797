package rhubarbknot.flow.node

import rhubarbknot.flow.model.Configuration
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.quorum.LogEntry

/**
 * Log lines from which an answer about the configuration can be traced: from the node that was asked, by the number of the request,
 * to the leader's decision, and from there to the log entry that it rests on. Documents are named by their hash.
 *
 * @param inForce returns the configuration that the node's state holds.
 * @param position returns the node's place in the replicated log.
 */
internal class ConfigurationLog(
    private val inForce: () -> Configuration?,
    private val position: () -> String,
    private val write: (NodeLogEvent, String, String) -> Unit,
) {
    /** The command in [entry] was applied on this node, whoever leads. */
    fun applied(
        command: FlowCommand.Configure,
        entry: LogEntry,
        outcome: FlowOutcome,
    ) {
        val version = command.configuration.version.toString()
        write(
            NodeLogEvent.CONFIGURATION_APPLIED,
            version,
            "outcome=$outcome index=${entry.index} entryTerm=${entry.term} ${context()}",
        )
    }

    /** The state of this node was replaced with a snapshot. */
    fun restored() = write(NodeLogEvent.CONFIGURATION_APPLIED, "snapshot", context())

    /** This leader acknowledges version [subject] to [caller], after its commit or because the one in force is not older. */
    fun acknowledged(
        caller: Caller,
        subject: String,
    ) = write(NodeLogEvent.CONFIGURATION_ACKNOWLEDGED, subject, "${origin(caller)} ${context()}")

    /** This leader answers a read of [caller]. */
    fun read(caller: Caller) = write(NodeLogEvent.CONFIGURATION_READ, "configuration", "${origin(caller)} ${context()}")

    /** This node returns an answer to the operator; nothing is written if [reply] is no answer about the configuration. */
    fun answered(reply: RequestRouter.Action.Reply) {
        val request = reply.request
        if (request !is FlowRequest.Configure && request != FlowRequest.ReadConfiguration) return
        val answer = reply.answer
        val text = if (answer is FlowAnswer.ConfigurationIs) "document hash=${answer.document.hashCode()}" else answer.toString()
        val operation = if (request is FlowRequest.Configure) "write" else "read"
        val detail = "operation=$operation number=${reply.number} age=${reply.ageMillis}ms answer=$text"
        write(NodeLogEvent.CONFIGURATION_ANSWERED, request.subject, detail)
    }

    private fun origin(caller: Caller) = "askedBy=${caller.address} incarnation=${caller.incarnation} number=${caller.number}"

    private fun context(): String {
        val configuration = inForce()
        return "inForce=${configuration?.version} hash=${configuration?.document?.hashCode()} ${position()}"
    }
}
