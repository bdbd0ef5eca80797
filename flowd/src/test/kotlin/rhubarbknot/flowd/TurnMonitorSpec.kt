package rhubarbknot.flowd

import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Test
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeEvent
import rhubarbknot.flow.node.NodeLogEvent
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

@DisplayName("the monitor of the control thread's turns")
class TurnMonitorSpec {
    private val recorded = ArrayList<Long>()
    private val lines = ArrayList<EventLogEntry>()
    private val monitor = TurnMonitor("10.0.0.1:1", { recorded += it }, { lines += it })

    private fun turn(millis: Long) =
        monitor.turnEnded(millis * 1_000_000, listOf(NodeEvent.Tick, NodeEvent.Persisted(1), NodeEvent.Tick), 7, mapOf("live_jobs" to 3L))

    @Test
    fun `records every turn, and logs none that is short`() {
        turn(99)
        expectThat(recorded).isEqualTo(arrayListOf(99_000_000L))
        expectThat(lines).isEmpty()
    }

    // A turn longer than a lease could not be told from a slow disk or a suspended process.
    @Test
    fun `logs a long turn with what it handled`() {
        turn(450)
        expectThat(lines.single().event).isEqualTo(NodeLogEvent.LONG_TURN)
        expectThat(lines.single().detail).contains("millis=450 events=Tick:2,Persisted:1 effects=7 live_jobs=3")
    }
}
