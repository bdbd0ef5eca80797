package rhubarbknot.host

import rhubarbknot.core.registry.RegistryCommand

/**
 * Brings refusals at a host's door into the audit trail without letting whoever knocks fill it: the first of a kind is
 * recorded at once, further ones are counted and recorded once a minute, and past [MAX_KINDS] kinds together.
 */
internal class RefusalLog(
    private val host: HostId,
    private val record: (RegistryCommand.RecordRefusal) -> Unit,
) {
    private val kinds = LinkedHashMap<RefusalKind, RefusalCounter>()
    private var number = 0L

    private data class RefusalKind(
        val who: String,
        val what: String,
    )

    private class RefusalCounter(
        var recordedAt: Long,
        var last: HostEvent.Refused,
    ) {
        var uncounted = 0
    }

    fun note(
        refusal: HostEvent.Refused,
        now: Long,
    ) {
        val own = RefusalKind(refusal.who, refusal.what)
        val kind = if (own in kinds || kinds.size < MAX_KINDS) own else OTHERS
        val seen = kinds[kind]
        if (seen == null) {
            kinds[kind] = RefusalCounter(now, refusal)
            write(kind, refusal, 1)
        } else {
            seen.uncounted++
            seen.last = refusal
        }
    }

    fun tick(now: Long) {
        val due = kinds.entries.filter { now - it.value.recordedAt >= REPEAT_MILLIS }
        due.forEach { (kind, seen) ->
            if (seen.uncounted == 0) {
                kinds.remove(kind)
            } else {
                write(kind, seen.last, seen.uncounted)
                seen.uncounted = 0
                seen.recordedAt = now
            }
        }
    }

    private fun write(
        kind: RefusalKind,
        refusal: HostEvent.Refused,
        count: Int,
    ) {
        val times = if (count == 1) "" else ", $count times in a minute"
        val id = "refusal-$host-${refusal.atMillis}-${number++}"
        record(RegistryCommand.RecordRefusal(kind.who, refusal.atMillis, "${kind.what} at $host$times", id))
    }

    private companion object {
        const val MAX_KINDS = 32
        const val REPEAT_MILLIS = 60_000L
        val OTHERS = RefusalKind("others", "refused")
    }
}
