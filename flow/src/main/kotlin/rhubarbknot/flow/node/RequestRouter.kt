package rhubarbknot.flow.node

/**
 * Brings requests to the leader and sees each one answered, as a pure state machine.
 *
 * A request that was lost on its way is sent again, to the next leader if need be: all requests may be repeated. A
 * request that was never sent waits for the time that an election takes, counted from the loss of the last leader, and
 * is then refused, as not run; one that was sent and not answered ends as unknown.
 *
 * @param startedAt when the process started, which counts as the loss of a leader.
 */
class RequestRouter(
    private val self: String,
    startedAt: Long,
) {
    private val open = LinkedHashMap<Long, Open>()
    private var leader: String? = null
    private var lostLeaderAt = startedAt

    /** What is to be done with a request. */
    sealed interface Step {
        /** Hand it to the leader at [to]. */
        data class Forward(
            val to: String,
            val number: Long,
            val request: FlowRequest,
        ) : Step

        /** This process leads: handle it here. */
        data class Handle(
            val number: Long,
            val request: FlowRequest,
        ) : Step

        /** Give [answer] to whoever asked [request]; [ageMillis] is how long it was here. */
        data class Reply(
            val number: Long,
            val answer: FlowAnswer,
            val request: FlowRequest,
            val ageMillis: Long,
        ) : Step
    }

    val openCount: Int get() = open.size

    fun ask(
        number: Long,
        request: FlowRequest,
        now: Long,
    ): List<Step> {
        val entry = Open(request, now)
        open[number] = entry
        return listOfNotNull(send(number, entry, now)).ifEmpty { expire(now) }
    }

    /** The leader is now at [address]; null when none can be reached. */
    fun leaderIs(
        address: String?,
        now: Long,
    ): List<Step> {
        if (address == leader) return emptyList()
        if (address == null) lostLeaderAt = now
        leader = address
        open.values.forEach { it.sentTo = null }
        return open.entries.mapNotNull { send(it.key, it.value, now) }
    }

    /** An answer came from the leader, or from this process. */
    fun answered(
        number: Long,
        answer: FlowAnswer,
        now: Long,
    ): List<Step> {
        val entry = open[number] ?: return emptyList()
        val again = answer == FlowAnswer.OutcomeUnknown || (answer is FlowAnswer.Refused && answer.reason == Refusal.NO_LEADER)
        if (again) {
            if (answer != FlowAnswer.OutcomeUnknown && entry.sends == 1) entry.uncertain = false
            entry.retryAt = now + RETRY_MILLIS
            entry.sentTo = null
            return expire(now)
        }
        open.remove(number)
        return listOf(Step.Reply(number, answer, entry.request, now - entry.askedAt))
    }

    /** Time has passed. */
    fun tick(now: Long): List<Step> = expire(now) + open.entries.mapNotNull { send(it.key, it.value, now) }

    private fun send(
        number: Long,
        entry: Open,
        now: Long,
    ): Step? {
        val to = leader ?: return null
        if (entry.sentTo != null && now - entry.sentAt < RESEND_MILLIS) return null
        if (now < entry.retryAt) return null
        entry.sentTo = to
        entry.sentAt = now
        entry.sends++
        entry.uncertain = true
        return if (to == self) Step.Handle(number, entry.request) else Step.Forward(to, number, entry.request)
    }

    private fun expire(now: Long): List<Step> {
        val out = ArrayList<Step>()
        val entries = open.entries.iterator()
        while (entries.hasNext()) {
            val (number, entry) = entries.next()
            val age = now - entry.askedAt
            val answer =
                when {
                    entry.uncertain && age > UNKNOWN_MILLIS -> FlowAnswer.OutcomeUnknown
                    !entry.uncertain &&
                        (
                            age > ELECTION_MILLIS ||
                                isWithoutHope(
                                    now,
                                )
                        ) -> FlowAnswer.Refused(Refusal.NO_LEADER, RETRY_AFTER_MILLIS)
                    else -> null
                }
            if (answer != null) {
                entries.remove()
                out += Step.Reply(number, answer, entry.request, age)
            }
        }
        return out
    }

    /** Whether an election would be over, so that waiting on is of no use: this process is cut off, or too few others live. */
    private fun isWithoutHope(now: Long): Boolean = leader == null && now - lostLeaderAt > ELECTION_MILLIS

    private class Open(
        val request: FlowRequest,
        val askedAt: Long,
    ) {
        var sentTo: String? = null
        var sentAt = 0L
        var retryAt = 0L
        var sends = 0

        /** Whether a leader may have carried it out. */
        var uncertain = false
    }

    private companion object {
        /** Longest that the next leader usually takes to be known here, after the loss of one. */
        const val ELECTION_MILLIS = 1_200L

        /** How long a request that was sent may stay without an answer. */
        const val UNKNOWN_MILLIS = 2_200L
        const val RESEND_MILLIS = 700L
        const val RETRY_MILLIS = 60L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
