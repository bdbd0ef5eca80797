package rhubarbknot.flowd

import kotlinx.serialization.json.JsonPrimitive
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeLogEvent
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * The decision log: one JSON object a line on [out], written by a thread of its own. Callers never wait: what comes
 * faster than [linesPerSecond], or does not fit in the queue, is dropped, counted and told.
 */
class EventLog(
    private val node: String,
    private val out: OutputStream = System.out,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private var window = 0L
    private var inWindow = 0
    private val writer = Thread({ writeLoop() }, "log").also { it.isDaemon = true }

    /** Lines that were not written. */
    val droppedLines: Long get() = dropped.get()

    init {
        writer.start()
    }

    @Synchronized
    fun write(note: EventLogEntry) {
        val now = System.currentTimeMillis()
        if (now / MILLIS_PER_SECOND != window) {
            window = now / MILLIS_PER_SECOND
            inWindow = 0
        }
        if (++inWindow > linesPerSecond || !queue.offer(line(note, now))) dropped.incrementAndGet()
    }

    private fun line(
        note: EventLogEntry,
        now: Long,
    ): String {
        val out = StringBuilder(LINE_CHARS)
        out
            .append(
                "{\"at\":",
            ).append(now)
            .append(",\"node\":\"")
            .append(node)
            .append("\",\"event\":\"")
            .append(note.event.lowercase())
            .append('"')
        if (note.subject.isNotEmpty()) out.append(",\"id\":").append(JsonPrimitive(note.subject))
        if (note.detail.isNotEmpty()) out.append(",\"why\":").append(JsonPrimitive(note.detail))
        return out.append("}\n").toString()
    }

    private fun writeLoop() {
        var told = 0L
        while (true) {
            val text = StringBuilder(queue.take())
            while (text.length < BATCH_CHARS) text.append(queue.poll() ?: break)
            val lost = dropped.get()
            if (lost >
                told
            ) {
                text.append(line(EventLogEntry(NodeLogEvent.LINES_DROPPED.name, "", "lines=${lost - told}"), System.currentTimeMillis()))
            }
            told = lost
            out.write(text.toString().toByteArray())
            out.flush()
        }
    }

    /** Waits a moment for lines that are still queued. */
    override fun close() {
        val until = System.currentTimeMillis() + CLOSE_MILLIS
        while (queue.isNotEmpty() && System.currentTimeMillis() < until) Thread.sleep(CLOSE_STEP_MILLIS)
    }

    private companion object {
        const val DEFAULT_LINES_PER_SECOND = 500
        const val QUEUE_LINES = 2_000
        const val LINE_CHARS = 160
        const val BATCH_CHARS = 16_384
        const val MILLIS_PER_SECOND = 1_000L
        const val CLOSE_MILLIS = 200L
        const val CLOSE_STEP_MILLIS = 5L
    }
}
