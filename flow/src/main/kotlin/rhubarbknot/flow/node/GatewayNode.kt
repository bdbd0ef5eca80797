package rhubarbknot.flow.node

import rhubarbknot.flow.model.RequestLimits

/**
 * A process without a replica: it forwards callers' requests to the leader and queries the eligibility service on its
 * behalf. It has no durable state.
 *
 * @param seeds addresses of control nodes to contact first; they report the others.
 */
class GatewayNode(
    private val self: NodeIdentity,
    seeds: Set<String>,
    now: Long,
) : FlowNode {
    private val directory = ControlDirectory(seeds)
    private val contact = ControlContact(self.address, now)
    private val router = RequestRouter(self.address, now)
    private val controlStatuses = LinkedHashMap<String, ReceivedStatus>()
    private val effects = ArrayList<NodeEffect>()
    private var currentTargets = emptySet<String>()
    private var leader: String? = null
    private var leaderTerm = 0L
    private var limits: RequestLimits? = null
    private var limitsVersion = 0L
    private var isShuttingDown = false

    override val tickMillis: Long get() = if (router.openCount > 0) FlowNode.DEFAULT_TICK_MILLIS else IDLE_TICK_MILLIS

    override fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect> {
        events.forEach { handle(it, now) }
        updateConnections()
        if (isShuttingDown && router.openCount == 0) effects += NodeEffect.ShutdownComplete
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    override fun health(now: Long): NodeHealth =
        NodeHealth(
            leader != null && !isShuttingDown,
            leader,
            leaderTerm,
            router.openCount,
            limits,
            mapOf(
                "connected_controls" to contact.count.toLong(),
                "dialled_controls" to currentTargets.size.toLong(),
                "without_controls_millis" to contact.lostForMillis(now),
            ),
        )

    private fun handle(
        event: NodeEvent,
        now: Long,
    ) {
        when (event) {
            NodeEvent.Tick -> {
                controlStatuses.filterValues { now - it.heardAt > STATUS_RETENTION_MILLIS }.keys.forEach { removeStatus(it) }
                updateLeader(now)
                execute(router.tick(now))
                effects += contact.tick(now) { directory.describe(currentTargets) }
            }
            is NodeEvent.LinkUp -> {
                log(NodeLogEvent.PEER_CONNECTED, event.peer.address)
                effects += contact.peerConnected(event.peer, now)
            }
            is NodeEvent.LinkDown -> {
                removeStatus(event.address)
                contact.peerDisconnected(event.address, now)
                log(NodeLogEvent.PEER_LOST, event.address)
                updateLeader(now)
            }
            is NodeEvent.SeedsChanged -> effects += directory.updateSeeds(event.seeds, self.address)
            is NodeEvent.FrameReceived -> frameReceived(event.from, event.frame, now)
            is NodeEvent.RequestReceived -> execute(router.submit(event.number, event.request, now))
            is NodeEvent.EligibilityReplied ->
                effects += NodeEffect.Send(event.askedBy, NodeFrame.EligibilityAnswer(event.reply.number, event.reply.tickets))
            NodeEvent.Shutdown -> isShuttingDown = true
            is NodeEvent.ClockStepped -> log(NodeLogEvent.CLOCK_STEPPED, self.address, "millis=${event.millis}")
            is NodeEvent.Persisted, is NodeEvent.WorkerReplied -> Unit
        }
    }

    private fun removeStatus(sender: String) {
        controlStatuses.remove(sender)
        directory.statusExpired(sender)
    }

    private fun frameReceived(
        from: NodeIdentity,
        frame: NodeFrame,
        now: Long,
    ) {
        controlStatuses[from.address]?.heardAt = now
        when (frame) {
            is NodeFrame.Status -> {
                controlStatuses[from.address] = ReceivedStatus(frame, now)
                directory.statusReceived(from.address, frame.controls)
                updateLimits(frame)
                updateLeader(now)
            }
            is NodeFrame.Answer -> answerReceived(from, frame, now)
            is NodeFrame.AskEligibility ->
                effects += NodeEffect.AskEligibility(from.address, frame.number, frame.step, frame.workers, frame.timeoutMillis)
            else -> Unit
        }
    }

    /** A control node that lags behind, or is cut off from the leader, still reports the limits of an older configuration. */
    private fun updateLimits(status: NodeFrame.Status) {
        if (status.limits == null || status.configurationVersion < limitsVersion) return
        limits = status.limits
        limitsVersion = status.configurationVersion
    }

    private fun answerReceived(
        from: NodeIdentity,
        frame: NodeFrame.Answer,
        now: Long,
    ) {
        if (frame.isFor(self)) {
            execute(router.answerReceived(frame.number, frame.answer, now))
        } else {
            log(NodeLogEvent.STALE_ANSWER, from.address, "number=${frame.number} incarnation=${frame.incarnation}")
        }
    }

    private fun updateLeader(now: Long) {
        val newest =
            controlStatuses.entries
                .filter {
                    it.value.status.serving && now - it.value.heardAt < LEADER_TIMEOUT_MILLIS
                }.maxByOrNull { it.value.status.term }
        if (newest?.key != leader) {
            log(NodeLogEvent.LEADER_CHANGED, newest?.key.orEmpty(), "term=${newest?.value?.status?.term} before=$leader")
            leader = newest?.key
        }
        leaderTerm = newest?.value?.status?.term ?: leaderTerm
        execute(router.leaderChanged(leader, now))
    }

    private fun updateConnections() {
        val targets = directory.targets(hasLeader = leader != null)
        if (targets == currentTargets) return
        currentTargets = targets
        log(NodeLogEvent.CONTROLS_DIALLED, self.address, "dialled=${directory.describe(targets)} leader=$leader")
        effects += NodeEffect.Connect(targets)
    }

    private fun execute(actions: List<RequestRouter.Action>) =
        actions.forEach { action ->
            effects +=
                when (action) {
                    is RequestRouter.Action.Forward -> NodeEffect.Send(action.to, NodeFrame.Ask(action.number, action.request))
                    is RequestRouter.Action.Reply -> {
                        logReply(action)
                        NodeEffect.Reply(action.number, action.answer)
                    }
                    is RequestRouter.Action.Handle -> error("a gateway cannot be the leader")
                }
        }

    /** Logs answers that were created here and thus are not in the log of any control node. */
    private fun logReply(action: RequestRouter.Action.Reply) {
        val answer = action.answer
        val context = "age=${action.ageMillis}ms leader=$leader term=$leaderTerm"
        if (answer == FlowAnswer.OutcomeUnknown) log(NodeLogEvent.REQUEST_UNKNOWN, action.request.subject, context)
        if (answer is FlowAnswer.Refused && answer.reason == Refusal.NO_LEADER) {
            log(
                NodeLogEvent.REQUEST_REFUSED,
                action.request.subject,
                "reason=NO_LEADER retryAfter=${answer.retryAfterMillis}ms $context",
            )
        }
    }

    private fun log(
        event: NodeLogEvent,
        subject: String,
        detail: String = "",
    ) {
        effects += NodeEffect.LogEvent(EventLogEntry(event, subject, detail))
    }

    private class ReceivedStatus(
        val status: NodeFrame.Status,
        var heardAt: Long,
    )

    private companion object {
        /**
         * Time without any frame from a leader after which requests are held instead of forwarded: what was forwarded to a
         * leader that is gone has an unknown outcome, what was held can be refused as not run. A leader reports its status every
         * 400 ms, so one lost status is tolerated.
         */
        const val LEADER_TIMEOUT_MILLIS = 900L
        const val STATUS_RETENTION_MILLIS = 10_000L

        /** Without open requests, only the age of the leader's last status has to be checked. */
        const val IDLE_TICK_MILLIS = 200L
    }
}
