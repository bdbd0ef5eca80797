package rhubarbknot.core.table

import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVPrinter

/** Writes the team table as CSV in the format that [TableReader] reads. */
object TableWriter {
    fun write(rows: List<TeamRow>): String {
        val out = StringBuilder()
        CSVPrinter(
            out,
            CSVFormat.DEFAULT
                .builder()
                .setRecordSeparator("\n")
                .get(),
        ).use { csv ->
            csv.printRecord("team", "share", "ceiling", "urgent", "queue_limit", "retries_per_minute", "overtake_seconds")
            rows.forEach {
                csv.printRecord(it.team.name, it.share, it.ceiling, it.urgent, it.queueLimit, it.retriesPerMinute, it.overtakeSeconds)
            }
        }
        return out.toString()
    }
}
