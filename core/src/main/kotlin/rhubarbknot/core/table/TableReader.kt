package rhubarbknot.core.table

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVParser
import org.apache.commons.csv.CSVRecord
import rhubarbknot.core.model.TeamId
import java.io.StringReader

/**
 * Parses the team table from CSV as spreadsheets export it: comma, semicolon or tab as the separator, an optional
 * byte-order mark, blanks around values, and unambiguous thousands separators. All errors are reported together.
 */
class TableReader(
    private val source: String,
) {
    private val findings = ArrayList<Finding>()

    /** The rows of [text], or all errors found in it. */
    fun read(text: String): Result<List<TeamRow>, List<Finding>> {
        val clean = text.removePrefix("\uFEFF")
        val separator = separatorOf(clean.lineSequence().firstOrNull().orEmpty())
        val records = CSVParser.parse(StringReader(clean), FORMAT.builder().setDelimiter(separator).get()).use { it.records }
        val header = records.firstOrNull()?.map { it.trim().lowercase() }.orEmpty()
        checkHeader(header)
        if (findings.isNotEmpty()) return Err(findings)
        val rows = records.drop(1).mapIndexed { i, record -> parseRow(header, record, i + 2) }
        checkDuplicateTeams(rows)
        return if (findings.isEmpty()) Ok(rows.filterNotNull()) else Err(findings)
    }

    /** Reports teams with more than one row. Rows that failed to parse are null, which keeps the row numbers right. */
    private fun checkDuplicateTeams(rows: List<TeamRow?>) =
        rows.forEachIndexed { i, row ->
            val first = rows.indexOfFirst { it?.team == row?.team }
            if (row != null && first < i) {
                report(i + 2, "team", row.team.name, "each team at most once; already defined in row ${first + 2}")
            }
        }

    private fun separatorOf(firstLine: String): Char = SEPARATORS.maxBy { c -> firstLine.count { it == c } }

    private fun checkHeader(header: List<String>) {
        (REQUIRED_COLUMNS - header.toSet()).forEach { report(1, it, "", "a column with this name") }
        (header - COLUMNS.toSet()).forEach { report(1, it, it, COLUMNS.joinToString()) }
        header
            .groupBy { it }
            .filterValues { it.size > 1 }
            .keys
            .forEach { report(1, it, it, "each column at most once") }
    }

    private fun parseRow(
        header: List<String>,
        record: CSVRecord,
        line: Int,
    ): TeamRow? {
        if (record.size() > header.size) {
            report(line, "", record.toList().drop(header.size).joinToString(), "${header.size} values")
            return null
        }
        val before = findings.size
        val fields = header.mapIndexed { i, name -> name to if (i < record.size()) record[i].trim() else "" }.toMap()
        val team = parseTeam(fields, line)
        val share = parseNumber(fields, line, "share", 1..MAX_SHARE)
        val ceiling = parseNumber(fields, line, "ceiling", 0..MAX_CEILING)
        val urgent = parseNumber(fields, line, "urgent", 0..MAX_CEILING, default = ceiling)
        val queueLimit = parseNumber(fields, line, "queue_limit", 0..MAX_CEILING, default = TeamRow.DEFAULT_QUEUE_LIMIT)
        val retries = parseNumber(fields, line, "retries_per_minute", 0..MAX_CEILING, default = TeamRow.DEFAULT_RETRIES_PER_MINUTE)
        val overtake =
            parseNumber(fields, line, "overtake_seconds", 0..TeamRow.MAX_OVERTAKE_SECONDS, default = TeamRow.DEFAULT_OVERTAKE_SECONDS)
        if (findings.size > before) return null
        return TeamRow(TeamId(team), share, ceiling, urgent, queueLimit, retries, overtake)
    }

    private fun parseTeam(
        fields: Map<String, String>,
        line: Int,
    ): String {
        val name = fields["team"].orEmpty()
        if (!TEAM_NAME.matches(name)) report(line, "team", name, "letters, digits, dot, dash and underscore, 1 to 64")
        return name
    }

    private fun parseNumber(
        fields: Map<String, String>,
        line: Int,
        column: String,
        range: IntRange,
        default: Int? = null,
    ): Int {
        val text = fields[column].orEmpty()
        if (text.isEmpty() && default != null) return default
        val value = parseInteger(text)
        if (value == null || value !in range) {
            report(line, column, text, "a whole number from ${range.first} to ${range.last}, such as 1200 or 1 200")
            return 0
        }
        return value
    }

    // "1.200" and "1,200" mean 1200 or 1.2 depending on the locale, so both are rejected.
    private fun parseInteger(text: String): Int? =
        when {
            PLAIN_INTEGER.matches(text) -> text.toIntOrNull()
            GROUPED_INTEGER.matches(text) -> text.filter { it.isDigit() }.toIntOrNull()
            else -> null
        }

    private fun report(
        line: Int,
        column: String,
        found: String,
        allowed: String,
    ) {
        findings += Finding(source, line, column, found, allowed)
    }

    private companion object {
        val FORMAT: CSVFormat =
            CSVFormat.DEFAULT
                .builder()
                .setIgnoreEmptyLines(true)
                .get()
        val SEPARATORS = listOf(',', ';', '\t')
        val REQUIRED_COLUMNS = listOf("team", "share", "ceiling")
        val COLUMNS = REQUIRED_COLUMNS + listOf("urgent", "queue_limit", "retries_per_minute", "overtake_seconds")
        val TEAM_NAME = Regex("[A-Za-z0-9._-]{1,64}")
        val PLAIN_INTEGER = Regex("\\d{1,9}")
        val GROUPED_INTEGER = Regex("\\d{1,3}([ '\u00A0\u202F]\\d{3})+")
        const val MAX_SHARE = 1_000_000
        const val MAX_CEILING = 10_000_000
    }
}
