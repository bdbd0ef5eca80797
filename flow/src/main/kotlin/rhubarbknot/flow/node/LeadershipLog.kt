package rhubarbknot.flow.node

import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.quorum.ReplicaEffect

/**
 * Log lines about who leads, and about the clock that a leader's lease is counted on.
 *
 * @param address address of this node.
 * @param context returns whether this node leads, and its term.
 */
internal class LeadershipLog(
    private val address: String,
    startedAt: Long,
    private val context: () -> String,
    private val write: (NodeLogEvent, String, String) -> Unit,
) {
    private var lastHandledAt = startedAt
    private var lastLeader: ReplicaEffect.RoleChanged? = null

    /** Events are handled at [now]. Ticks arrive every few milliseconds, so a gap means that this process or its host stood still. */
    fun eventsHandled(now: Long) {
        val gapMillis = now - lastHandledAt
        lastHandledAt = now
        if (gapMillis > CLOCK_GAP_MILLIS) write(NodeLogEvent.CLOCK_GAP, address, "millis=$gapMillis ${context()}")
    }

    fun clockStepped(event: NodeEvent.ClockStepped) = write(NodeLogEvent.CLOCK_STEPPED, address, "millis=${event.millis} ${context()}")

    /** Logs a leader that was not logged before. */
    fun leaderChanged(change: ReplicaEffect.RoleChanged) {
        val leader = change.leader ?: return
        val previous = lastLeader
        if (leader == previous?.leader && change.term == previous.term) return
        write(NodeLogEvent.LEADER_CHANGED, leader.name, "term=${change.term} before=${previous?.leader?.name}")
        lastLeader = change
    }

    fun leadershipLost(
        lost: Dispatcher,
        change: ReplicaEffect.RoleChanged,
    ) {
        val reason = if (change.term > lost.term) "another term has begun" else "no quorum answers or this replica has halted"
        val successor = change.leader?.name ?: "unknown"
        val detail = "term=${lost.term} reason=$reason newTerm=${change.term} role=${change.role} successor=$successor"
        write(NodeLogEvent.LEADERSHIP_LOST, address, detail)
    }

    private companion object {
        /** Time without any event after which a process counts as having stood still. */
        const val CLOCK_GAP_MILLIS = 1_000L
    }
}
