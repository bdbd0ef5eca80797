package rhubarbknot.flow.world

import rhubarbknot.core.model.Resources
import rhubarbknot.flow.FlowFixture
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowState
import java.util.SplittableRandom

/**
 * A real [Dispatcher], whose proposals are committed at once, and [SimulatedWorker]s that the [Oracle] watches. What happens to each
 * call on its way is decided by [fateOf].
 */
internal class SingleRunTestBed(
    private val settings: DispatchSettings = DispatchSettings(),
) {
    /** What happens to a call on its way. */
    enum class Fate {
        ANSWERED,

        /** The worker executes the call, but the answer is lost. */
        ANSWER_LOST,

        /** The call is lost. */
        LOST,

        /** The call is kept until [deliverHeld]. */
        HELD,
    }

    private class OpenRenewal(
        val worker: SimulatedWorker,
        val bornAt: Long,
        val call: WorkerCall.Renew,
        val sentAt: Long,
        val from: Dispatcher,
    )

    var now = START_MILLIS
        private set
    val oracle = Oracle(Resources(milliCpus = 100_000, memoryMb = 1_000_000))
    private val workers = LinkedHashMap<String, SimulatedWorker>()
    private val state = FlowState().also { it.apply(FlowCommand.Configure(FlowFixture.configuration())) }
    private var term = 1L
    private var dispatcher = Dispatcher(state, settings, term, now)
    private val heldCalls = ArrayList<WorkerCall>()
    private val openRenewals = ArrayList<OpenRenewal>()
    private val replies = ArrayList<Pair<Long, () -> Unit>>()
    private val silent = HashSet<String>()

    /** Decides about each call; all are answered by default. */
    var fateOf: (WorkerCall) -> Fate = { Fate.ANSWERED }

    /** Violated invariants. */
    val violations: List<String> get() = oracle.violations

    /** Adds a worker; with [stalls], its runs last until the end of the test. */
    fun addWorker(
        name: String,
        stalls: Boolean = false,
    ): SimulatedWorker {
        val worker = SimulatedWorker(name, oracle, GangTracker(), SplittableRandom(1), now)
        if (stalls) worker.stalledUntil = Long.MAX_VALUE
        workers[worker.address] = worker
        return worker
    }

    fun submit(id: String) {
        val request = FlowFixture.request(id, FlowFixture.step())
        oracle.jobSubmitted(request)
        apply(FlowCommand.Submit(request, now))
    }

    /** Whether [worker] sends no reports. */
    fun setSilent(
        worker: SimulatedWorker,
        isSilent: Boolean,
    ) {
        if (isSilent) silent += worker.address else silent -= worker.address
    }

    /** Crashes [worker], which is back under the same id after [millis]. */
    fun restart(
        worker: SimulatedWorker,
        millis: Long = RESTART_MILLIS,
    ) {
        worker.restart(now)
        worker.isDown = true
        advance(millis)
        worker.restart(now)
        worker.isDown = false
    }

    /** Lets the workers at the addresses of the calls held so far execute them. */
    fun deliverHeld() {
        val calls = ArrayList(heldCalls)
        heldCalls.clear()
        calls.forEach { workers.getValue(it.address).handle(it, now, isLate = true) }
    }

    fun heldCount(): Int = heldCalls.size

    /** Replaces the leader; the new one knows the workers from their next reports. */
    fun changeLeader() {
        dispatcher = Dispatcher(state, settings, ++term, now)
    }

    fun isRunning(task: String): Boolean = oracle.hasRun(task)

    /** Advances the virtual time by [millis]. */
    fun advance(millis: Long) {
        val until = now + millis
        while (now < until) {
            now += STEP_MILLIS
            workers.values.filter { !it.isDown }.forEach { it.tick(now) }
            if (now % REPORT_MILLIS == 0L) {
                workers.values.filter { !it.isDown && it.address !in silent }.forEach { dispatcher.workerReported(it.report(now), now) }
            }
            answerRenewals()
            val due = replies.filter { it.first <= now }
            replies.removeAll(due)
            due.forEach { it.second() }
            dispatcher.dispatchDue(now)
            dispatcher.drain().forEach { execute(it) }
        }
    }

    private fun apply(command: FlowCommand) = dispatcher.commandApplied(command, state.apply(command), now)

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Propose -> apply(effect.command)
            is DispatchEffect.Call -> send(effect.call)
            else -> Unit
        }
    }

    private fun send(call: WorkerCall) {
        val worker = workers.getValue(call.address)
        val fate = if (worker.isDown) Fate.LOST else fateOf(call)
        when {
            fate == Fate.ANSWERED && call is WorkerCall.Renew ->
                openRenewals += OpenRenewal(worker, worker.bornAt, call, now, dispatcher)
            fate == Fate.ANSWERED -> reply(dispatcher, call, worker.handle(call, now), now, STEP_MILLIS)
            else -> {
                if (fate == Fate.ANSWER_LOST) worker.handle(call, now)
                if (fate == Fate.HELD) heldCalls += call
                reply(dispatcher, call, WorkerReply.NoResponse, now, settings.callTimeoutMillis)
            }
        }
    }

    private fun answerRenewals() {
        val over =
            openRenewals.filter {
                val waited = now - it.sentAt
                it.worker.isDown ||
                    it.worker.bornAt != it.bornAt ||
                    waited >= it.call.waitMillis ||
                    (waited > 0 && it.worker.hasEndsAfter(it.call.lastSeen))
            }
        openRenewals.removeAll(over)
        over.forEach {
            val isCut = it.worker.isDown || it.worker.bornAt != it.bornAt || fateOf(it.call) != Fate.ANSWERED
            reply(it.from, it.call, if (isCut) WorkerReply.NoResponse else it.worker.handle(it.call, now), it.sentAt, STEP_MILLIS)
        }
    }

    private fun reply(
        receiver: Dispatcher,
        call: WorkerCall,
        reply: WorkerReply,
        sentAt: Long,
        delayMillis: Long,
    ) {
        replies += now + delayMillis to { if (receiver === dispatcher) receiver.workerReplied(call, reply, sentAt, now) }
    }

    companion object {
        const val START_MILLIS = 1_000_000L

        /** The shortest time in which a worker restarts. */
        const val RESTART_MILLIS = 150L
        private const val STEP_MILLIS = 10L
        private const val REPORT_MILLIS = 500L
    }
}
