package rhubarbknot.flow.node

import rhubarbknot.flow.model.RequestLimits

/**
 * A process without a replica: it brings callers' requests to the leader and puts questions to the eligibility
 * service for it. It remembers nothing that must last.
 *
 * @param seeds control nodes to start from; the others are learned from them.
 */
class GatewayNode(
    private val self: NodeIdentity,
    private val seeds: Set<String>,
    now: Long,
) : FlowNode {
    private val router = RequestRouter(self.address, now)
    private val controls = LinkedHashMap<String, Heard>()
    private val effects = ArrayList<NodeEffect>()
    private var connected = emptySet<String>()
    private var leader: String? = null
    private var leaderTerm = 0L
    private var limits: RequestLimits? = null
    private var draining = false

    override fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect> {
        events.forEach { handle(it, now) }
        connect()
        if (draining && router.openCount == 0) effects += NodeEffect.ShutdownComplete
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    override fun health(now: Long): NodeHealth = NodeHealth(leader != null && !draining, leader, leaderTerm, router.openCount, limits)

    private fun handle(
        event: NodeEvent,
        now: Long,
    ) {
        when (event) {
            NodeEvent.Tick -> {
                controls.values.removeIf { now - it.at > FORGET_MILLIS }
                chooseLeader(now)
                carryOut(router.tick(now))
            }
            is NodeEvent.LinkUp -> note(NodeLogEvent.PEER_CONNECTED, event.peer.address)
            is NodeEvent.LinkDown -> {
                controls.remove(event.address)
                note(NodeLogEvent.PEER_LOST, event.address)
                chooseLeader(now)
            }
            is NodeEvent.FrameReceived -> received(event.from, event.frame, now)
            is NodeEvent.RequestReceived -> carryOut(router.ask(event.number, event.request, now))
            is NodeEvent.EligibilityReplied ->
                effects += NodeEffect.Send(event.askedBy, NodeFrame.EligibilityAnswer(event.reply.number, event.reply.tickets))
            NodeEvent.Shutdown -> draining = true
            is NodeEvent.Persisted, is NodeEvent.WorkerReplied -> Unit
        }
    }

    private fun received(
        from: NodeIdentity,
        frame: NodeFrame,
        now: Long,
    ) {
        when (frame) {
            is NodeFrame.Status -> {
                controls[from.address] = Heard(frame, now)
                if (frame.limits != null) limits = frame.limits
                chooseLeader(now)
            }
            is NodeFrame.Answer -> carryOut(router.answered(frame.number, frame.answer, now))
            is NodeFrame.AskEligibility ->
                effects += NodeEffect.AskEligibility(from.address, frame.number, frame.step, frame.workers, frame.timeoutMillis)
            else -> Unit
        }
    }

    private fun chooseLeader(now: Long) {
        val best =
            controls.entries
                .filter {
                    it.value.status.serving && now - it.value.at < SILENT_MILLIS
                }.maxByOrNull { it.value.status.term }
        if (best?.key != leader) {
            note(NodeLogEvent.LEADER_CHANGED, best?.key.orEmpty(), "term=${best?.value?.status?.term} before=$leader")
            leader = best?.key
        }
        leaderTerm = best?.value?.status?.term ?: leaderTerm
        carryOut(router.leaderIs(leader, now))
    }

    private fun connect() {
        val wanted = seeds + controls.values.flatMap { it.status.controls }
        if (wanted == connected) return
        connected = wanted
        effects += NodeEffect.Connect(wanted)
    }

    private fun carryOut(steps: List<RequestRouter.Step>) =
        steps.forEach { step ->
            effects +=
                when (step) {
                    is RequestRouter.Step.Forward -> NodeEffect.Send(step.to, NodeFrame.Ask(step.number, step.request))
                    is RequestRouter.Step.Reply -> {
                        noteReply(step)
                        NodeEffect.Reply(step.number, step.answer)
                    }
                    is RequestRouter.Step.Handle -> error("a gateway never leads")
                }
        }

    /** Tells of answers that no control node has told of. */
    private fun noteReply(step: RequestRouter.Step.Reply) {
        val answer = step.answer
        val why = "age=${step.ageMillis}ms leader=$leader term=$leaderTerm"
        if (answer == FlowAnswer.OutcomeUnknown) note(NodeLogEvent.REQUEST_UNKNOWN, step.request.subject, why)
        if (answer is FlowAnswer.Refused && answer.reason == Refusal.NO_LEADER) {
            note(NodeLogEvent.REQUEST_REFUSED, step.request.subject, "reason=NO_LEADER retryAfter=${answer.retryAfterMillis}ms $why")
        }
    }

    private fun note(
        event: NodeLogEvent,
        subject: String,
        detail: String = "",
    ) {
        effects += NodeEffect.LogEvent(EventLogEntry(event.name, subject, detail))
    }

    private class Heard(
        val status: NodeFrame.Status,
        val at: Long,
    )

    private companion object {
        /** Silence after which a leader's last word does not count any more. */
        const val SILENT_MILLIS = 1_600L
        const val FORGET_MILLIS = 10_000L
    }
}
