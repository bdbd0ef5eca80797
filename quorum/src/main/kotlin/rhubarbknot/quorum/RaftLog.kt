package rhubarbknot.quorum

/** In-memory part of the log: the entries after the last compaction, plus index and term of the last compacted entry. */
internal class RaftLog(
    snapshot: Snapshot?,
    initial: List<LogEntry>,
) {
    private val entries = ArrayList<LogEntry>()

    /** For each entry held, the payload bytes of it and of all entries appended before it since the start of the process. */
    private val endOffsets = ArrayList<Long>()
    private var baseOffset = 0L

    /** Index of the last compacted entry; the first entry held is the next one. */
    var baseIndex = snapshot?.index ?: 0L
        private set

    private var baseTerm = snapshot?.term ?: 0L

    init {
        initial.filter { it.index > baseIndex }.forEach(::add)
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
        add(entry)
    }

    private fun add(entry: LogEntry) {
        endOffsets.add(offsetAfter(lastIndex) + entry.payload.size)
        entries.add(entry)
    }

    private fun offsetAfter(index: Long): Long = if (index <= baseIndex) baseOffset else endOffsets[(index - baseIndex - 1).toInt()]

    /** Payload bytes of the entries after [index] up to and including [last], as far as they are held. */
    fun bytesBetween(
        index: Long,
        last: Long,
    ): Long = maxOf(0, offsetAfter(minOf(last, lastIndex)) - offsetAfter(minOf(index, lastIndex)))

    /** Removes all entries after [index]. */
    fun truncateAfter(index: Long) {
        while (lastIndex > index) {
            endOffsets.removeLast()
            entries.removeLast()
        }
    }

    /** Removes all entries up to and including [index]. */
    fun compactTo(index: Long) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "cannot compact up to $index: last index is $lastIndex" }
        val count = (index - baseIndex).toInt()
        baseOffset = offsetAfter(index)
        entries.subList(0, count).clear()
        endOffsets.subList(0, count).clear()
        baseIndex = index
        baseTerm = term
    }

    /** Removes all entries and restarts the log after [index], an entry of [term]. */
    fun reset(
        index: Long,
        term: Long,
    ) {
        baseOffset = offsetAfter(lastIndex)
        entries.clear()
        endOffsets.clear()
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

    /** Index before the longest suffix of at most [maxEntries] entries with at most [maxBytes] of payload. */
    fun indexBeforeSuffix(
        maxEntries: Int,
        maxBytes: Long,
    ): Long {
        var index = lastIndex
        while (index > baseIndex && lastIndex - index < maxEntries && bytesBetween(index - 1, lastIndex) <= maxBytes) index--
        return index
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
