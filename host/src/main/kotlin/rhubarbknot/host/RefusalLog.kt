package rhubarbknot.host

import rhubarbknot.core.registry.RegistryCommand

/**
 * Records refused connections and requests in the audit trail at a bounded rate, so that clients can't flood it. The
 * first refusal of a kind is recorded at once; repeats are counted and recorded once a minute. Beyond [MAX_KINDS] kinds,
 * further ones are counted together.
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
        var unrecorded = 0
    }

    fun note(
        refusal: HostEvent.Refused,
        now: Long,
    ) {
        val exactKind = RefusalKind(refusal.who, refusal.what)
        val kind = if (exactKind in kinds || kinds.size < MAX_KINDS) exactKind else OTHERS
        val counter = kinds[kind]
        if (counter == null) {
            kinds[kind] = RefusalCounter(now, refusal)
            write(kind, refusal, 1)
        } else {
            counter.unrecorded++
            counter.last = refusal
        }
    }

    fun tick(now: Long) {
        val due = kinds.entries.filter { now - it.value.recordedAt >= REPEAT_MILLIS }
        due.forEach { (kind, counter) ->
            if (counter.unrecorded == 0) {
                kinds.remove(kind)
            } else {
                write(kind, counter.last, counter.unrecorded)
                counter.unrecorded = 0
                counter.recordedAt = now
            }
        }
    }

    private fun write(
        kind: RefusalKind,
        refusal: HostEvent.Refused,
        count: Int,
    ) {
        val repeatSuffix = if (count == 1) "" else ", $count times in a minute"
        val id = "refusal-$host-${refusal.atMillis}-${number++}"
        record(RegistryCommand.RecordRefusal(kind.who, refusal.atMillis, "${kind.what} at $host$repeatSuffix", id))
    }

    private companion object {
        const val MAX_KINDS = 32
        const val REPEAT_MILLIS = 60_000L
        val OTHERS = RefusalKind("others", "refused")
    }
}
