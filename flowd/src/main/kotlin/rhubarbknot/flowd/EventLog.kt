package rhubarbknot.flowd

import kotlinx.serialization.json.JsonPrimitive
import rhubarbknot.flow.model.EventVolume
import rhubarbknot.flow.model.LoggedEvent
import rhubarbknot.flow.node.EventLogEntry
import rhubarbknot.flow.node.NodeLogEvent
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Event log that writes one JSON object per line to [out] on a dedicated thread. Callers never block: lines that
 * exceed the limit of their volume or do not fit in the queue are dropped and counted by event, and the counts are
 * logged. Key lines have a limit of their own and space in the queue that plentiful lines do not get.
 */
class EventLog(
    private val node: String,
    private val out: OutputStream = System.out,
    private val plentifulLinesPerSecond: Int = DEFAULT_PLENTIFUL_LINES_PER_SECOND,
    private val keyLinesPerSecond: Int = DEFAULT_KEY_LINES_PER_SECOND,
    private val clockMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<String>(PLENTIFUL_QUEUE_CAPACITY + KEY_QUEUE_CAPACITY)
    private val drops = DroppedLines()
    private var currentSecond = 0L
    private var plentifulThisSecond = 0
    private var keyThisSecond = 0

    @Volatile
    private var queuedLines = 0L

    @Volatile
    private var writtenLines = 0L
    private val writer = Thread({ writeLoop() }, "log").also { it.isDaemon = true }

    /** Number of lines dropped so far. */
    val droppedLines: Long get() = drops.total

    init {
        writer.start()
    }

    @Synchronized
    fun write(entry: EventLogEntry) {
        val now = clockMillis()
        startSecond(now / MILLIS_PER_SECOND)
        if (hasRoomFor(entry.event.volume) && queue.offer(line(entry, now))) queuedLines++ else drops.add(entry.event)
    }

    private fun startSecond(second: Long) {
        if (second == currentSecond) return
        currentSecond = second
        plentifulThisSecond = 0
        keyThisSecond = 0
    }

    private fun hasRoomFor(volume: EventVolume): Boolean =
        when (volume) {
            EventVolume.KEY -> ++keyThisSecond <= keyLinesPerSecond
            EventVolume.PLENTIFUL ->
                ++plentifulThisSecond <= plentifulLinesPerSecond && queue.remainingCapacity() > KEY_QUEUE_CAPACITY
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
            .append(entry.event.name.lowercase())
            .append('"')
        if (entry.subject.isNotEmpty()) json.append(",\"id\":").append(JsonPrimitive(entry.subject))
        if (entry.detail.isNotEmpty()) json.append(",\"why\":").append(JsonPrimitive(entry.detail))
        return json.append("}\n").toString()
    }

    private fun writeLoop() {
        var reportedAt = System.nanoTime()
        while (true) {
            val batch = nextBatch()
            val text = StringBuilder()
            batch.forEach { text.append(it) }
            if (System.nanoTime() - reportedAt >= DROP_REPORT_PERIOD_NANOS) {
                reportedAt = System.nanoTime()
                drops.takeReport()?.let { text.append(line(EventLogEntry(NodeLogEvent.LINES_DROPPED, "", it), clockMillis())) }
            }
            if (text.isEmpty()) continue
            out.write(text.toString().toByteArray())
            out.flush()
            writtenLines += batch.size
        }
    }

    /** Waits for lines; returns none when it is time to report dropped ones. */
    private fun nextBatch(): List<String> {
        val first = queue.poll(DROP_REPORT_PERIOD_NANOS, TimeUnit.NANOSECONDS) ?: return emptyList()
        val batch = arrayListOf(first)
        queue.drainTo(batch, MAX_BATCH_LINES - 1)
        return batch
    }

    /** Waits at most [CLOSE_TIMEOUT_MILLIS] until all queued lines are written. */
    override fun close() {
        val deadline = System.currentTimeMillis() + CLOSE_TIMEOUT_MILLIS
        while (writtenLines < queuedLines && System.currentTimeMillis() < deadline) Thread.sleep(CLOSE_POLL_MILLIS)
    }

    companion object {
        /** Lines of [EventVolume.PLENTIFUL] events that are written each second. */
        const val DEFAULT_PLENTIFUL_LINES_PER_SECOND = 500

        /** Lines of [EventVolume.KEY] events that are written each second. */
        const val DEFAULT_KEY_LINES_PER_SECOND = 4_000

        /** Plentiful lines that wait for the writer at most. */
        const val PLENTIFUL_QUEUE_CAPACITY = 2_000

        /** Queue space kept for key lines. */
        const val KEY_QUEUE_CAPACITY = 4_000
        private const val DROP_REPORT_PERIOD_NANOS = 1_000_000_000L
        private const val LINE_CAPACITY = 160
        private const val MAX_BATCH_LINES = 128
        private const val MILLIS_PER_SECOND = 1_000L
        private const val CLOSE_TIMEOUT_MILLIS = 200L
        private const val CLOSE_POLL_MILLIS = 5L
    }
}

/** Counts dropped lines by event. */
private class DroppedLines {
    private val unreported = LinkedHashMap<LoggedEvent, Long>()

    /** Number of lines dropped so far. */
    @Volatile
    var total = 0L
        private set

    @Synchronized
    fun add(event: LoggedEvent) {
        total++
        unreported.merge(event, 1, Long::plus)
    }

    /** Counts of the lines dropped since the last report: all, those of key events, and those of each event. Null for none. */
    @Synchronized
    fun takeReport(): String? {
        if (unreported.isEmpty()) return null
        val keyLines = unreported.entries.sumOf { (event, lines) -> if (event.volume == EventVolume.KEY) lines else 0 }
        val byEvent = unreported.entries.joinToString(" ") { (event, lines) -> "${event.name.lowercase()}=$lines" }
        val report = "lines=${unreported.values.sum()} key=$keyLines $byEvent"
        unreported.clear()
        return report
    }
}
