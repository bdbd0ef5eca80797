package rhubarbknot.flowd

import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeEvent
import rhubarbknot.flow.node.NodeLogEvent

/**
 * Measures the turns of the control thread: the handling of one batch of events. A turn that is longer than the lease of a leader costs
 * the leader its term, and looks to the other processes like a slow disk or a suspended host.
 *
 * @param record records the duration of a turn in nanoseconds as a metric.
 * @param write writes a line of the event log about a long turn.
 */
internal class TurnMonitor(
    private val address: String,
    private val record: (Long) -> Unit,
    private val write: (EventLogEntry) -> Unit,
) {
    /** Records a turn of [nanos] nanoseconds that handled [events] and had [effectCount] effects; [gauges] are those of the node. */
    fun turnEnded(
        nanos: Long,
        events: List<NodeEvent>,
        effectCount: Int,
        gauges: Map<String, Long>,
    ) {
        record(nanos)
        val millis = nanos / NANOS_PER_MILLI
        if (millis < LONG_TURN_MILLIS) return
        val kinds =
            events
                .groupingBy { kindOf(it) }
                .eachCount()
                .entries
                .sortedByDescending { it.value }
        val detail =
            "millis=$millis events=${kinds.take(MAX_KINDS).joinToString(",") { "${it.key}:${it.value}" }} effects=$effectCount " +
                gauges.entries.joinToString(" ") { "${it.key}=${it.value}" }
        write(EventLogEntry(NodeLogEvent.LONG_TURN, address, detail, millis))
    }

    private fun kindOf(event: NodeEvent): String =
        when (event) {
            is NodeEvent.FrameReceived -> event.frame.javaClass.simpleName
            is NodeEvent.RequestReceived -> event.request.javaClass.simpleName
            else -> event.javaClass.simpleName
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** A quarter of the lease of a leader. */
        const val LONG_TURN_MILLIS = 100L
        const val MAX_KINDS = 6
    }
}
