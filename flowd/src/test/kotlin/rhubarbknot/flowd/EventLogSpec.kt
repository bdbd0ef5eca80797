package rhubarbknot.flowd

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DisplayName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import rhubarbknot.flow.dispatch.DispatchEvent
import rhubarbknot.flow.model.LoggedEvent
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeLogEvent
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch

@DisplayName("the event log")
class EventLogSpec {
    private val out = ByteArrayOutputStream()

    @Volatile
    private var now = 5_000L

    private fun logTo(
        out: OutputStream,
        plentiful: Int = PLENTIFUL_LIMIT,
        key: Int = KEY_LIMIT,
    ) = EventLog("n1", out, plentiful, key) { now }

    private fun EventLog.writeAll(
        event: LoggedEvent,
        count: Int,
    ) = repeat(count) { write(EventLogEntry(event, "$it")) }

    private fun lines(): List<JsonObject> =
        out
            .toString()
            .lines()
            .filter { it.isNotEmpty() }
            .map { Json.parseToJsonElement(it).jsonObject }

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    private fun idsOf(event: LoggedEvent) = lines().filter { it.text("event") == event.name.lowercase() }.map { it.text("id") }

    /** Waits for the report of dropped lines, which is made at most once a second. */
    private fun dropReport(): String {
        while (true) {
            lines().firstOrNull { it.text("event") == "lines_dropped" }?.let { return it.text("why") }
            Thread.sleep(POLL_MILLIS)
        }
    }

    @Nested
    @DisplayName("when it is flooded with plentiful lines")
    inner class PlentifulLines {
        private val log = logTo(out)

        @Test
        fun `writes every key line within the limit of key lines`() {
            repeat(KEY_LIMIT) { index ->
                log.writeAll(DispatchEvent.RUN_STARTED, 100)
                log.write(EventLogEntry(DispatchEvent.RUN_LOST, "$index"))
            }
            log.close()
            expectThat(idsOf(DispatchEvent.RUN_LOST)).isEqualTo(List(KEY_LIMIT) { "$it" })
            expectThat(idsOf(DispatchEvent.RUN_STARTED)).hasSize(PLENTIFUL_LIMIT)
        }

        @Test
        @Timeout(10)
        fun `reports the dropped lines of each event`() {
            log.writeAll(DispatchEvent.RUN_STARTED, PLENTIFUL_LIMIT + 7)
            log.writeAll(NodeLogEvent.JOB_ACCEPTED, 3)
            log.writeAll(DispatchEvent.WORKER_OVER, KEY_LIMIT + 2)
            expectThat(log.droppedLines).isEqualTo(12)
            expectThat(dropReport()).isEqualTo("lines=12 key=2 run_started=7 job_accepted=3 worker_over=2")
        }

        @Test
        fun `starts anew with the next second`() {
            log.writeAll(DispatchEvent.RUN_STARTED, PLENTIFUL_LIMIT + 1)
            now += 1_000
            log.writeAll(DispatchEvent.RUN_STARTED, PLENTIFUL_LIMIT)
            log.close()
            expectThat(idsOf(DispatchEvent.RUN_STARTED)).hasSize(2 * PLENTIFUL_LIMIT)
        }

        @Test
        fun `writes lines of both volumes in the order of their events`() {
            log.write(EventLogEntry(DispatchEvent.RUN_STARTED, "a"))
            log.write(EventLogEntry(DispatchEvent.RUN_LOST, "b"))
            log.write(EventLogEntry(DispatchEvent.RUN_STARTED, "c"))
            log.close()
            expectThat(lines().map { it.text("id") }).containsExactly("a", "b", "c")
        }
    }

    @Nested
    @DisplayName("when nobody reads its output")
    inner class BlockedOutput {
        private val unblocked = CountDownLatch(1)
        private val blockedOut =
            object : OutputStream() {
                override fun write(byte: Int) = unblocked.await().also { out.write(byte) }
            }
        private val log = logTo(blockedOut, Int.MAX_VALUE, Int.MAX_VALUE)

        @AfterEach
        fun unblock() = unblocked.countDown()

        @Test
        @Timeout(10)
        fun `never blocks its callers and bounds what it keeps`() {
            log.writeAll(DispatchEvent.RUN_STARTED, FLOOD)
            log.writeAll(DispatchEvent.RUN_LOST, FLOOD)
            expectThat(log.droppedLines).isGreaterThan(FLOOD.toLong())
        }

        @Test
        fun `keeps space for key lines`() {
            log.writeAll(DispatchEvent.RUN_STARTED, FLOOD)
            val dropped = log.droppedLines
            log.writeAll(DispatchEvent.RUN_LOST, EventLog.KEY_QUEUE_CAPACITY)
            expectThat(dropped).isGreaterThan(0)
            expectThat(log.droppedLines).isEqualTo(dropped)
        }
    }

    private companion object {
        const val PLENTIFUL_LIMIT = 20
        const val KEY_LIMIT = 30
        const val FLOOD = 20_000
        const val POLL_MILLIS = 20L
    }
}
