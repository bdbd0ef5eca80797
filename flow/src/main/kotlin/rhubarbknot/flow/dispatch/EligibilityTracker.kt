package rhubarbknot.flow.dispatch

import rhubarbknot.flow.model.EligibilitySettings
import rhubarbknot.flow.model.WorkerIncarnation
import java.util.TreeMap

/** Names one step of one job. */
data class StepKey(
    val job: String,
    val step: Int,
) {
    override fun toString(): String = "$job.0.$step"
}

/** One question to the eligibility service, to be put by host [caller]. */
data class EligibilityRequest(
    val number: Long,
    val caller: String,
    val step: StepKey,
    val workers: List<String>,
    val timeoutMillis: Long,
)

/** Its answer: the tickets of the workers that may run the step; null when none came. */
data class EligibilityReply(
    val number: Long,
    val tickets: Map<String, String>?,
)

/** A worker's permission to run a step. */
internal class Ticket(
    val text: String,
    val validUntil: Long,
)

/** What is known of one step. */
internal class StepEligibility(
    val terms: EligibilitySettings,
    val priority: Int,
) {
    val tickets = HashMap<WorkerIncarnation, Ticket>()
    val asked = HashSet<WorkerIncarnation>()
    var questionOpen = false

    fun valid(
        worker: WorkerIncarnation,
        now: Long,
    ): Ticket? = tickets[worker]?.takeIf { it.validUntil > now }
}

/**
 * Questions to the eligibility service. The service takes one call at a time from each calling host, so questions are
 * spread over all hosts that may call, one open question each; short ones never wait for the last free caller.
 */
internal class EligibilityTracker {
    private val steps = HashMap<StepKey, StepEligibility>()
    private val waiting = ArrayList<Waiting>()
    private val open = TreeMap<Long, Open>()
    private val callers = LinkedHashMap<String, Caller>()
    private var lastNumber = 0L

    /** The hosts that may put questions now. */
    fun setCallers(names: Collection<String>) {
        callers.keys.retainAll(names.toSet())
        names.forEach { callers.getOrPut(it) { Caller() } }
    }

    /** Workers that may run [step], whether their tickets are still valid or not. */
    fun allowed(step: StepKey): Set<WorkerIncarnation> = steps[step]?.tickets?.keys.orEmpty()

    /** [worker] did not take its ticket for [step]: the service is asked about it again. */
    fun refused(
        step: StepKey,
        worker: WorkerIncarnation,
    ) {
        val record = steps[step] ?: return
        record.tickets.remove(worker)
        record.asked.remove(worker)
    }

    fun track(
        step: StepKey,
        terms: EligibilitySettings,
        priority: Int,
    ): StepEligibility = steps.getOrPut(step) { StepEligibility(terms, priority) }

    /** Forgets steps that [keep] does not want. */
    fun retain(keep: (StepKey) -> Boolean) {
        steps.keys.removeIf { !keep(it) }
        waiting.removeIf { it.step !in steps }
    }

    fun ask(
        step: StepKey,
        workers: List<WorkerIncarnation>,
    ) {
        val record = steps[step] ?: return
        if (record.questionOpen || workers.isEmpty()) return
        record.questionOpen = true
        record.asked.addAll(workers)
        val cost = record.terms.decideMillis + record.terms.perWorkerMillis * workers.size
        waiting += Waiting(step, workers, cost, record.priority)
    }

    /** Questions that can be put now. */
    fun due(now: Long): List<EligibilityRequest> {
        expire(now)
        if (waiting.isEmpty()) return emptyList()
        val out = ArrayList<EligibilityRequest>()
        waiting.sortWith(compareBy({ it.priority }, { it.cost }))
        val rest = waiting.iterator()
        while (rest.hasNext()) {
            val next = rest.next()
            val free = callers.entries.filter { it.value.question == null && it.value.distrustedUntil <= now }
            val spared = if (next.cost > LONG_COST_MILLIS) callers.size / SPARED_PART else 0
            if (free.size <= spared) continue
            val (name, caller) = free.minBy { it.value.lastUsed }
            rest.remove()
            lastNumber++
            val timeout = (next.cost * TIMEOUT_FACTOR).toLong() + TIMEOUT_EXTRA_MILLIS
            caller.question = lastNumber
            caller.lastUsed = lastNumber
            open[lastNumber] = Open(next, name, now + timeout + TIMEOUT_EXTRA_MILLIS)
            out += EligibilityRequest(lastNumber, name, next.step, next.workers.map { it.id }, timeout)
        }
        return out
    }

    /** Takes an answer in; returns the step that it is about. */
    fun answered(
        reply: EligibilityReply,
        now: Long,
    ): StepKey? {
        val question = open.remove(reply.number) ?: return null
        val caller = callers[question.caller]
        if (caller?.question == reply.number) caller.question = null
        val record = steps[question.asked.step] ?: return null
        record.questionOpen = false
        if (reply.tickets == null) {
            caller?.distrustedUntil = now + CALLER_PAUSE_MILLIS
            record.asked.removeAll(question.asked.workers.toSet())
            return question.asked.step
        }
        val validUntil = now + record.terms.validMillis - TICKET_MARGIN_MILLIS
        question.asked.workers.forEach { worker ->
            val text = reply.tickets[worker.id]
            if (text == null) record.tickets.remove(worker) else record.tickets[worker] = Ticket(text, validUntil)
        }
        return question.asked.step
    }

    private fun expire(now: Long) {
        open.entries
            .filter { it.value.expiresAt <= now }
            .map { it.key }
            .forEach { answered(EligibilityReply(it, null), now) }
    }

    private class Caller {
        var question: Long? = null
        var lastUsed = 0L
        var distrustedUntil = 0L
    }

    private class Waiting(
        val step: StepKey,
        val workers: List<WorkerIncarnation>,
        val cost: Double,
        val priority: Int,
    )

    private class Open(
        val asked: Waiting,
        val caller: String,
        val expiresAt: Long,
    )

    private companion object {
        /** Questions longer than this leave some callers free for shorter ones. */
        const val LONG_COST_MILLIS = 200.0
        const val SPARED_PART = 4
        const val TIMEOUT_FACTOR = 1.5
        const val TIMEOUT_EXTRA_MILLIS = 700L
        const val CALLER_PAUSE_MILLIS = 1_000L

        /** A ticket is used no later than this before it runs out, for the way of the start and differing clocks. */
        const val TICKET_MARGIN_MILLIS = 250L
    }
}
