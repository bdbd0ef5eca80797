package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.EligibilitySettings
import rhubarbknot.flow.model.WorkerIncarnation
import java.util.TreeMap

/** Identifies a step of a job. */
data class StepKey(
    val job: String,
    val step: Int,
) {
    override fun toString(): String = "$job.0.$step"
}

/** A request to the eligibility service, to be sent by host [caller]. */
data class EligibilityRequest(
    val number: Long,
    val caller: String,
    val step: StepKey,
    val workers: List<String>,
    val timeoutMillis: Long,
)

/** Response of the eligibility service: a ticket for each worker that may run the step; null when no response arrived. */
data class EligibilityReply(
    val number: Long,
    val tickets: Map<String, String>?,
)

/** Permission for a worker to run a step. */
internal class Ticket(
    val text: String,
    val validUntil: Long,
)

/** Tickets of a step and the workers that the service has been asked about. */
internal class StepEligibility(
    val settings: EligibilitySettings,
    val priority: Int,
) {
    val tickets = HashMap<WorkerIncarnation, Ticket>()
    val asked = HashSet<WorkerIncarnation>()
    var hasOpenRequest = false

    /** Time that the service takes for a request about [workers] workers, in milliseconds. */
    fun cost(workers: Int): Double = settings.decideMillis + settings.perWorkerMillis * workers

    fun valid(
        worker: WorkerIncarnation,
        now: Long,
    ): Ticket? = tickets[worker]?.takeIf { it.validUntil > now }
}

/**
 * Schedules requests to the eligibility service and caches its tickets. The service accepts one call at a time from each
 * host, so requests are spread over all calling hosts with one open request each. Long requests leave some callers free,
 * so that short ones do not queue behind them.
 *
 * @param term term of the leader that asks. The numbers of requests begin with it, so that an answer to an earlier leader, which may
 * have been in the same process, is not taken for one of this leader's.
 */
internal class EligibilityTracker(
    term: Long,
) {
    private val steps = HashMap<StepKey, StepEligibility>()
    private val pending = ArrayList<PendingRequest>()
    private val openRequests = TreeMap<Long, OpenRequest>()
    private val callers = LinkedHashMap<String, Caller>()
    private var lastNumber = term shl NUMBER_BITS

    /** How many long requests the current pass over the waiting steps may still make. */
    private var longRequestsLeft = 0

    /** Sets the hosts that may currently send requests. */
    fun setCallers(names: Collection<String>) {
        callers.keys.retainAll(names.toSet())
        names.forEach { callers.getOrPut(it) { Caller() } }
    }

    /** Workers that have a ticket for [step], whether it is still valid or has expired. */
    fun allowed(step: StepKey): Set<WorkerIncarnation> = steps[step]?.tickets?.keys.orEmpty()

    /** Whether the service has been asked about any worker for [step]. */
    fun isAsked(step: StepKey): Boolean = steps[step]?.asked?.isNotEmpty() == true

    /** Drops the ticket for [step] that [worker] rejected, so that the service is asked about the worker again. */
    fun invalidateTicket(
        step: StepKey,
        worker: WorkerIncarnation,
    ) {
        val record = steps[step] ?: return
        record.tickets.remove(worker)
        record.asked.remove(worker)
    }

    fun track(
        step: StepKey,
        settings: EligibilitySettings,
        priority: Int,
    ): StepEligibility = steps.getOrPut(step) { StepEligibility(settings, priority) }

    /** Removes the steps for which [keep] returns false. */
    fun retain(keep: (StepKey) -> Boolean) {
        steps.keys.removeIf { !keep(it) }
        pending.removeIf { it.step !in steps }
    }

    /**
     * Whether a request for [record] about [workers] workers is worth making at [now]. One that would take long and that no host can send
     * now is not: when it is sent at last, other workers have room, and other steps come first.
     */
    fun mayAsk(
        record: StepEligibility,
        workers: Int,
        now: Long,
    ): Boolean {
        if (record.cost(workers) <= LONG_COST_MILLIS) return true
        return longRequestsLeft > 0 && freeForLongRequests(now) > 0
    }

    /**
     * Begins a pass over the waiting steps at [now]. A host that becomes free during the pass is left to the first steps of the next one:
     * the steps that are still to come in this one are less urgent.
     */
    fun beginPass(now: Long) {
        longRequestsLeft = freeForLongRequests(now)
    }

    private fun freeForLongRequests(now: Long): Int = callers.values.count { it.isAvailable(now) } - pending.size - reservedCallers

    /** Number of hosts that long requests leave free. */
    private val reservedCallers: Int get() = callers.size / RESERVED_CALLERS_DIVISOR

    fun ask(
        step: StepKey,
        workers: List<WorkerIncarnation>,
    ) {
        val record = steps[step] ?: return
        if (record.hasOpenRequest || workers.isEmpty()) return
        record.hasOpenRequest = true
        record.asked.addAll(workers)
        val cost = record.cost(workers.size)
        if (cost > LONG_COST_MILLIS) longRequestsLeft--
        pending += PendingRequest(step, workers, cost, record.priority)
    }

    /** Dequeues the requests that can be sent at [now]. */
    fun takeDueRequests(now: Long): List<EligibilityRequest> {
        expire(now)
        if (pending.isEmpty()) return emptyList()
        val availableCallers = callers.entries.filterTo(ArrayList()) { it.value.isAvailable(now) }
        if (availableCallers.isEmpty()) return emptyList()
        val requests = ArrayList<EligibilityRequest>()
        pending.sortWith(compareBy({ it.priority }, { it.cost }))
        val sent = HashSet<PendingRequest>()
        for (next in pending) {
            if (availableCallers.isEmpty()) break
            if (next.cost > LONG_COST_MILLIS && availableCallers.size <= reservedCallers) continue
            val available = availableCallers.minBy { it.value.lastUsed }
            availableCallers -= available
            val (name, caller) = available
            sent += next
            lastNumber++
            val timeout = (next.cost * TIMEOUT_FACTOR).toLong() + TIMEOUT_EXTRA_MILLIS
            caller.openRequest = lastNumber
            caller.lastUsed = lastNumber
            openRequests[lastNumber] = OpenRequest(next, name, now + timeout + TIMEOUT_EXTRA_MILLIS)
            requests += EligibilityRequest(lastNumber, name, next.step, next.workers.map { it.id }, timeout)
        }
        if (sent.isNotEmpty()) pending.removeIf { it in sent }
        return requests
    }

    /** Stores the tickets of [reply]; returns the step that the request was for, or null if it is unknown. */
    fun handleReply(
        reply: EligibilityReply,
        now: Long,
    ): StepKey? {
        val open = openRequests.remove(reply.number) ?: return null
        val caller = callers[open.caller]
        if (caller?.openRequest == reply.number) caller.openRequest = null
        val record = steps[open.request.step] ?: return null
        record.hasOpenRequest = false
        if (reply.tickets == null) {
            caller?.pausedUntil = now + CALLER_PAUSE_MILLIS
            record.asked.removeAll(open.request.workers.toSet())
            return open.request.step
        }
        val validUntil = now + record.settings.validMillis - TICKET_MARGIN_MILLIS
        open.request.workers.forEach { worker ->
            val text = reply.tickets[worker.id]
            if (text == null) record.tickets.remove(worker) else record.tickets[worker] = Ticket(text, validUntil)
        }
        return open.request.step
    }

    private fun expire(now: Long) {
        openRequests.entries
            .filter { it.value.expiresAt <= now }
            .map { it.key }
            .forEach { handleReply(EligibilityReply(it, null), now) }
    }

    private class Caller {
        var openRequest: Long? = null
        var lastUsed = 0L
        var pausedUntil = 0L

        fun isAvailable(now: Long): Boolean = openRequest == null && pausedUntil <= now
    }

    private class PendingRequest(
        val step: StepKey,
        val workers: List<WorkerIncarnation>,
        val cost: Double,
        val priority: Int,
    )

    private class OpenRequest(
        val request: PendingRequest,
        val caller: String,
        val expiresAt: Long,
    )

    private companion object {
        /** Requests expected to take longer than this leave some callers free for shorter ones. */
        const val LONG_COST_MILLIS = 200.0

        /** Bits for the requests of one term. */
        const val NUMBER_BITS = 32
        const val RESERVED_CALLERS_DIVISOR = 4
        const val TIMEOUT_FACTOR = 1.5
        const val TIMEOUT_EXTRA_MILLIS = 700L
        const val CALLER_PAUSE_MILLIS = 1_000L

        /** A ticket is used no later than this before it expires, to allow for network latency of the start and clock skew. */
        const val TICKET_MARGIN_MILLIS = 250L
    }
}
