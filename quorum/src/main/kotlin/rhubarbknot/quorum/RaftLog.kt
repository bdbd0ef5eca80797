package rhubarbknot.quorum

/** In-memory part of the log: the entries after the last compaction, plus index and term of the last compacted entry. */
internal class RaftLog(
    snapshot: Snapshot?,
    initial: List<LogEntry>,
) {
    private val entries = ArrayList<LogEntry>()

    /** Index of the last compacted entry; the first entry held is the next one. */
    var baseIndex = snapshot?.index ?: 0L
        private set

    private var baseTerm = snapshot?.term ?: 0L

    init {
        initial.filter { it.index > baseIndex }.forEach(entries::add)
    }

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm

    /** Term of the entry at [index], or null if the entry is not held. */
    fun termAt(index: Long): Long? =
        when {
            index == baseIndex -> baseTerm
            index < baseIndex || index > lastIndex -> null
            else -> entry(index).term
        }

    fun entry(index: Long): LogEntry = entries[(index - baseIndex - 1).toInt()]

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "cannot append entry ${entry.index} after $lastIndex" }
        entries.add(entry)
    }

    /** Removes all entries after [index]. */
    fun truncateAfter(index: Long) {
        while (lastIndex > index) entries.removeLast()
    }

    /** Removes all entries up to and including [index]. */
    fun compactTo(index: Long) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "cannot compact up to $index: last index is $lastIndex" }
        entries.subList(0, (index - baseIndex).toInt()).clear()
        baseIndex = index
        baseTerm = term
    }

    /** Removes all entries and restarts the log after [index], an entry of [term]. */
    fun reset(
        index: Long,
        term: Long,
    ) {
        entries.clear()
        baseIndex = index
        baseTerm = term
    }

    /**
     * Returns entries from [first] up to [last], stopping once their payloads reach [maxBytes]; at least one if the range
     * is not empty.
     */
    fun slice(
        first: Long,
        last: Long,
        maxBytes: Int,
    ): List<LogEntry> {
        val selected = ArrayList<LogEntry>()
        var bytes = 0
        var index = first
        while (index <= last && (selected.isEmpty() || bytes < maxBytes)) {
            val next = entry(index++)
            selected.add(next)
            bytes += next.payload.size
        }
        return selected
    }

    fun firstIndexOfTerm(
        term: Long,
        upTo: Long,
    ): Long {
        var index = upTo
        while (index > baseIndex + 1 && termAt(index - 1) == term) index--
        return index
    }

    fun lastMembers(): Members? = entries.lastOrNull { it.kind == EntryKind.MEMBERS }?.let { QuorumCodec.decodeMembers(it.payload) }

    fun lastMembersIndex(): Long = entries.lastOrNull { it.kind == EntryKind.MEMBERS }?.index ?: 0
}
