package rhubarbknot.cli.operate

/** Formats rows as aligned text columns; numeric columns are right-aligned. */
class TextTable(
    private val header: List<String>,
) {
    private val rows = ArrayList<List<String>>()

    fun row(vararg cells: Any?) {
        rows += cells.map { it?.toString().orEmpty() }
    }

    override fun toString(): String {
        val widths = header.indices.map { i -> (rows + listOf(header)).maxOf { it[i].length } }
        val numeric = header.indices.map { i -> rows.isNotEmpty() && rows.all { NUMBER.matches(it[i]) } }
        return (listOf(header) + rows).joinToString("\n") { cells ->
            cells
                .mapIndexed { i, cell -> if (numeric[i]) cell.padStart(widths[i]) else cell.padEnd(widths[i]) }
                .joinToString("  ")
                .trimEnd()
        }
    }

    private companion object {
        val NUMBER = Regex("-?[0-9.]*")
    }
}
