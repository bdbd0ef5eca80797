package rhubarbknot.flowd

import kotlinx.serialization.json.JsonPrimitive
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeLogEvent
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Event log that writes one JSON object per line to [out] on a dedicated thread. Callers never block: lines that
 * exceed [linesPerSecond] or do not fit in the queue are dropped and counted, and the count is logged.
 */
class EventLog(
    private val node: String,
    private val out: OutputStream = System.out,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<String>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()
    private var currentSecond = 0L
    private var linesThisSecond = 0
    private val writer = Thread({ writeLoop() }, "log").also { it.isDaemon = true }

    /** Number of lines dropped so far. */
    val droppedLines: Long get() = dropped.get()

    init {
        writer.start()
    }

    @Synchronized
    fun write(entry: EventLogEntry) {
        val now = System.currentTimeMillis()
        if (now / MILLIS_PER_SECOND != currentSecond) {
            currentSecond = now / MILLIS_PER_SECOND
            linesThisSecond = 0
        }
        if (++linesThisSecond > linesPerSecond || !queue.offer(line(entry, now))) dropped.incrementAndGet()
    }

    private fun line(
        entry: EventLogEntry,
        now: Long,
    ): String {
        val json = StringBuilder(LINE_CAPACITY)
        json
            .append(
                "{\"at\":",
            ).append(now)
            .append(",\"node\":\"")
            .append(node)
            .append("\",\"event\":\"")
            .append(entry.event.lowercase())
            .append('"')
        if (entry.subject.isNotEmpty()) json.append(",\"id\":").append(JsonPrimitive(entry.subject))
        if (entry.detail.isNotEmpty()) json.append(",\"why\":").append(JsonPrimitive(entry.detail))
        return json.append("}\n").toString()
    }

    private fun writeLoop() {
        var reportedDrops = 0L
        while (true) {
            val text = StringBuilder(queue.take())
            while (text.length < MAX_BATCH_CHARS) text.append(queue.poll() ?: break)
            val totalDrops = dropped.get()
            if (totalDrops >
                reportedDrops
            ) {
                text.append(
                    line(
                        EventLogEntry(NodeLogEvent.LINES_DROPPED.name, "", "lines=${totalDrops - reportedDrops}"),
                        System.currentTimeMillis(),
                    ),
                )
            }
            reportedDrops = totalDrops
            out.write(text.toString().toByteArray())
            out.flush()
        }
    }

    /** Waits at most [CLOSE_TIMEOUT_MILLIS] for the queue to empty. */
    override fun close() {
        val deadline = System.currentTimeMillis() + CLOSE_TIMEOUT_MILLIS
        while (queue.isNotEmpty() && System.currentTimeMillis() < deadline) Thread.sleep(CLOSE_POLL_MILLIS)
    }

    private companion object {
        const val DEFAULT_LINES_PER_SECOND = 500
        const val QUEUE_CAPACITY = 2_000
        const val LINE_CAPACITY = 160
        const val MAX_BATCH_CHARS = 16_384
        const val MILLIS_PER_SECOND = 1_000L
        const val CLOSE_TIMEOUT_MILLIS = 200L
        const val CLOSE_POLL_MILLIS = 5L
    }
}
