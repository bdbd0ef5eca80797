package rhubarbknot.flow.world

import rhubarbknot.flow.dispatch.WorkerCall
import rhubarbknot.flow.dispatch.WorkerReply
import rhubarbknot.flow.node.FlowAnswer
import rhubarbknot.flow.node.FlowRequest

/**
 * The links between the control nodes and the workers of a [SimulatedCluster]: cuts, lost answers, and calls and messages that
 * arrive seconds late.
 */
internal class WorkerNetwork(
    private val cluster: SimulatedCluster,
) {
    private class Cut(
        val worker: SimulatedWorker,
        val node: SimulatedNode?,
        val refuses: Boolean,
        val until: Long,
    )

    private val options get() = cluster.options
    private val random get() = cluster.optionRandom
    private val cuts = ArrayList<Cut>()

    /** Percentage of calls whose answers are lost. */
    var lostAnswersPercent = 0

    /** Percentage of calls that get no answer and are executed late. */
    var lateCallsPercent = 0

    /** Cuts [worker] from [node], or from all control nodes if that is null, for [millis]. */
    fun cut(
        worker: SimulatedWorker,
        node: SimulatedNode?,
        refuses: Boolean,
        millis: Long,
    ) {
        cuts.removeIf { it.until <= cluster.now }
        cuts += Cut(worker, node, refuses, cluster.now + millis)
    }

    fun heal() = cuts.clear()

    private fun cutBetween(
        node: SimulatedNode,
        worker: SimulatedWorker,
    ): Cut? = cuts.firstOrNull { it.worker === worker && (it.node == null || it.node === node) && cluster.now < it.until }

    fun isCut(
        node: SimulatedNode,
        worker: SimulatedWorker,
    ): Boolean = cutBetween(node, worker) != null

    fun losesAnswer(): Boolean = lostAnswersPercent > 0 && random.nextInt(100) < lostAnswersPercent

    /** Handles a [call] that does not arrive in time; returns false for one that does. */
    fun intercepts(
        node: SimulatedNode,
        call: WorkerCall,
        worker: SimulatedWorker?,
        reply: (WorkerReply) -> Unit,
    ): Boolean {
        if (lateCallsPercent > 0 && mayBeLate(call) && random.nextInt(100) < lateCallsPercent) {
            executeLate(call, worker)
            return true
        }
        val cut = worker?.let { cutBetween(node, it) } ?: return false
        // Of a refusing cut, a call on an open connection only learns that the connection was closed.
        if (cut.refuses) reply(if (random.nextBoolean()) WorkerReply.ConnectionRefused else WorkerReply.NoResponse)
        return true
    }

    private fun mayBeLate(call: WorkerCall): Boolean =
        when (call) {
            is WorkerCall.Start -> options.lateStarts
            is WorkerCall.Stop -> options.lateStops
            is WorkerCall.Renew -> options.lateRenewals
        }

    private fun executeLate(
        call: WorkerCall,
        worker: SimulatedWorker?,
    ) {
        val bornAt = worker?.bornAt
        val sentAtClock = worker?.clock(cluster.now) ?: 0
        cluster.after(random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)) {
            val receiver = cluster.workerAt(call.address) ?: return@after
            if (receiver.isDown || (receiver.bornAt != bornAt && !options.lateCallsReachSuccessors)) return@after
            val shift = if (options.lateGrantsCountFromArrival) receiver.clock(cluster.now) - sentAtClock else 0
            cluster.logWorkerEvent("LATE_CALL", receiver, "$call")
            receiver.handle(call.withLaterDeadline(shift), cluster.now, isLate = true)
        }
    }

    private fun WorkerCall.withLaterDeadline(millis: Long): WorkerCall =
        when (this) {
            is WorkerCall.Start -> copy(deadlineMillis = deadlineMillis + millis)
            is WorkerCall.Stop -> this
            is WorkerCall.Renew -> copy(deadlineMillis = deadlineMillis?.let { it + millis })
        }

    /** Sends a report of [worker] to [control], or to one that it can reach. */
    fun report(
        worker: SimulatedWorker,
        control: SimulatedNode,
    ) {
        val request = FlowRequest.Report(worker.report(cluster.now))
        val receiver = if (isCut(control, worker)) reachable(worker) else control
        if (receiver != null) cluster.ask(receiver, request) {}
        repeatLate(request)
    }

    /** Sends the leave message of [worker]; [done] learns whether it was acknowledged. */
    fun leave(
        worker: SimulatedWorker,
        done: (Boolean) -> Unit,
    ) {
        val request = FlowRequest.Leave(worker.id)
        repeatLate(request)
        val receiver = reachable(worker)
        if (receiver == null) cluster.after(1) { done(false) } else cluster.ask(receiver, request) { done(it == FlowAnswer.Done) }
    }

    private fun reachable(worker: SimulatedWorker): SimulatedNode? {
        val candidates = cluster.controls.filter { !isCut(it, worker) }
        return if (candidates.isEmpty()) null else candidates[random.nextInt(candidates.size)]
    }

    /** Lets some messages arrive once more, seconds late. */
    private fun repeatLate(request: FlowRequest) {
        if (!options.lateMessages || random.nextInt(100) >= LATE_MESSAGES_PERCENT) return
        cluster.after(random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)) {
            cluster.ask(cluster.controls[random.nextInt(cluster.controls.size)], request) {}
        }
    }

    private companion object {
        const val MIN_DELAY_MILLIS = 2_000L
        const val MAX_DELAY_MILLIS = 12_000L
        const val LATE_MESSAGES_PERCENT = 10
    }
}
