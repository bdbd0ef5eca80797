package rhubarbknot.flow.node

/**
 * Forwards requests to the leader and makes sure that each one is answered, as a pure state machine.
 *
 * A request without an answer is sent again, to the new leader if the leader changed: all requests are idempotent. A
 * request that was never sent waits for the duration of an election, counted from the loss of the last leader, and is
 * then refused as not run; one that was sent but not answered ends with an unknown outcome.
 *
 * @param startedAt start time of the process, treated as the time at which a leader was lost.
 */
class RequestRouter(
    private val self: String,
    startedAt: Long,
) {
    private val pendingRequests = LinkedHashMap<Long, PendingRequest>()
    private var leader: String? = null
    private var leaderLostAt = startedAt

    /** Action to take for a request. */
    sealed interface Action {
        /** Send the request to the leader at [to]. */
        data class Forward(
            val to: String,
            val number: Long,
            val request: FlowRequest,
        ) : Action

        /** This process is the leader: handle the request locally. */
        data class Handle(
            val number: Long,
            val request: FlowRequest,
        ) : Action

        /** Return [answer] to the sender of [request]; [ageMillis] is the time the request spent in this router. */
        data class Reply(
            val number: Long,
            val answer: FlowAnswer,
            val request: FlowRequest,
            val ageMillis: Long,
        ) : Action
    }

    val openCount: Int get() = pendingRequests.size

    fun submit(
        number: Long,
        request: FlowRequest,
        now: Long,
    ): List<Action> {
        val entry = PendingRequest(request, now)
        pendingRequests[number] = entry
        return listOfNotNull(send(number, entry, now)).ifEmpty { expire(now) }
    }

    /** Sets the leader to [address]; null when no leader can be reached. */
    fun leaderChanged(
        address: String?,
        now: Long,
    ): List<Action> {
        if (address == leader) return emptyList()
        if (address == null) leaderLostAt = now
        leader = address
        pendingRequests.values.forEach { it.sentTo = null }
        return pendingRequests.entries.mapNotNull { send(it.key, it.value, now) }
    }

    /** Handles an answer from the leader or from this process. */
    fun answerReceived(
        number: Long,
        answer: FlowAnswer,
        now: Long,
    ): List<Action> {
        val entry = pendingRequests[number] ?: return emptyList()
        val shouldRetry = answer == FlowAnswer.OutcomeUnknown || (answer is FlowAnswer.Refused && answer.reason == Refusal.NO_LEADER)
        if (shouldRetry) {
            if (answer != FlowAnswer.OutcomeUnknown && entry.sendCount == 1) entry.mayHaveRun = false
            entry.retryAt = now + RETRY_DELAY_MILLIS
            entry.sentTo = null
            return expire(now)
        }
        pendingRequests.remove(number)
        val isInDoubt = answer is FlowAnswer.Refused && entry.request.isRefusalBinding && entry.earlierCopyMayHaveRun
        return listOf(Action.Reply(number, if (isInDoubt) FlowAnswer.OutcomeUnknown else answer, entry.request, now - entry.receivedAt))
    }

    /**
     * Ends the requests that may be passed on for a short time only: the clock may not have counted some time, so their age is unknown.
     */
    fun clockDoubted(now: Long): List<Action> {
        val ended = pendingRequests.filterValues { it.request.validMillis < FlowRequest.REPEATABLE_VALID_MILLIS }
        pendingRequests.keys.removeAll(ended.keys)
        return ended.map { (number, entry) ->
            val answer = if (entry.mayHaveRun) FlowAnswer.OutcomeUnknown else NOT_RUN
            Action.Reply(number, answer, entry.request, now - entry.receivedAt)
        }
    }

    /** Expires and resends requests that are due at [now]. */
    fun tick(now: Long): List<Action> = expire(now) + pendingRequests.entries.mapNotNull { send(it.key, it.value, now) }

    private fun send(
        number: Long,
        entry: PendingRequest,
        now: Long,
    ): Action? {
        val to = leader ?: return null
        if (now - entry.receivedAt > entry.request.validMillis) return null
        if (entry.sentTo != null && now - entry.sentAt < RESEND_AFTER_MILLIS) return null
        if (now < entry.retryAt) return null
        entry.sentTo = to
        entry.sentAt = now
        entry.sendCount++
        entry.earlierCopyMayHaveRun = entry.mayHaveRun
        entry.mayHaveRun = true
        return if (to == self) Action.Handle(number, entry.request) else Action.Forward(to, number, entry.request)
    }

    private fun expire(now: Long): List<Action> {
        val expired = ArrayList<Action>()
        val entries = pendingRequests.entries.iterator()
        while (entries.hasNext()) {
            val (number, entry) = entries.next()
            val age = now - entry.receivedAt
            val answer =
                when {
                    entry.mayHaveRun && age > minOf(UNKNOWN_OUTCOME_MILLIS, entry.request.validMillis) -> FlowAnswer.OutcomeUnknown
                    !entry.mayHaveRun &&
                        (
                            age > ELECTION_TIMEOUT_MILLIS ||
                                isElectionOverdue(
                                    now,
                                )
                        ) -> NOT_RUN
                    else -> null
                }
            if (answer != null) {
                entries.remove()
                expired += Action.Reply(number, answer, entry.request, age)
            }
        }
        return expired
    }

    /**
     * Whether there is still no leader after the time of an election, so that waiting longer is useless: this process is
     * partitioned, or there is no quorum.
     */
    private fun isElectionOverdue(now: Long): Boolean = leader == null && now - leaderLostAt > ELECTION_TIMEOUT_MILLIS

    private class PendingRequest(
        val request: FlowRequest,
        val receivedAt: Long,
    ) {
        var sentTo: String? = null
        var sentAt = 0L
        var retryAt = 0L
        var sendCount = 0

        /**
         * Whether a leader may have executed a copy sent before the last one. A refusal of the last one, by a newer configuration, say,
         * then does not tell that the request has not run.
         */
        var earlierCopyMayHaveRun = false

        /** Whether a leader may have executed the request. */
        var mayHaveRun = false
    }

    private companion object {
        /** Usual upper bound on the time from the loss of a leader until this process knows the next one. */
        const val ELECTION_TIMEOUT_MILLIS = 1_200L

        /** Age at which a request that may have been executed ends with an unknown outcome. */
        const val UNKNOWN_OUTCOME_MILLIS = 2_200L
        const val RESEND_AFTER_MILLIS = 700L
        const val RETRY_DELAY_MILLIS = 60L
        const val RETRY_AFTER_MILLIS = 1_000L
        val NOT_RUN = FlowAnswer.Refused(Refusal.NO_LEADER, RETRY_AFTER_MILLIS)
    }
}
