package rhubarbknot.flow.node

import rhubarbknot.core.model.Codec
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.EligibilityReply
import rhubarbknot.flow.dispatch.FencingToken
import rhubarbknot.flow.model.JobRequest
import rhubarbknot.flow.model.Queue
import rhubarbknot.flow.model.WorkerReport
import rhubarbknot.flow.state.FlowCommand
import rhubarbknot.flow.state.FlowOutcome
import rhubarbknot.flow.state.FlowState
import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.EntryKind
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.Replica
import rhubarbknot.quorum.ReplicaConfig
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.ReplicaEvent
import rhubarbknot.quorum.ReplicaId
import rhubarbknot.quorum.Role

/**
 * Settings of a control node.
 *
 * @property seeds addresses of control nodes to contact first.
 * @property bootstrap initial members of the group; empty on a replica that joins an existing group.
 * @property targetVoterCount voters of a complete group: 2f + 1 to tolerate the simultaneous loss of f.
 * @property lostAfterMillis time without a connection after which another replica replaces a voter; with the time to detect the loss
 * and to change the members, within the time after which the deployment may lose another host.
 * @property snapshotEvery number of log entries between two snapshots.
 * @property snapshotBytes payload bytes of committed entries after which a snapshot is made even if there are fewer entries: a start
 * reads them all, and they stay in memory until then.
 * @property maxHeldBytes estimated heap for jobs from which on new ones are refused; see [rhubarbknot.flow.state.JobMemory].
 */
data class ControlConfig(
    val self: NodeIdentity,
    val seeds: Set<String>,
    val bootstrap: Members,
    val targetVoterCount: Int,
    val dispatch: DispatchSettings = DispatchSettings(),
    val lostAfterMillis: Long = MembershipManager.DEFAULT_LOST_AFTER_MILLIS,
    val snapshotEvery: Long = 4_000,
    val snapshotBytes: Long = 8L * 1024 * 1024,
    val heartbeatMillis: Long = 80,
    val electionMinMillis: Long = 400,
    val electionMaxMillis: Long = 650,
    val maxHeldBytes: Long = Long.MAX_VALUE,
    val seed: Long = 1,
)

/**
 * A process with a replica of the state. The leader also validates requests and dispatches runs to the workers; the
 * others forward requests to the leader.
 */
class ControlNode(
    private val config: ControlConfig,
    durable: DurableState,
    now: Long,
) : FlowNode {
    private val self = config.self
    private val replicaId = ReplicaId(self.replica)
    private val state = FlowState()
    private val admission = AdmissionController(state, config.maxHeldBytes)
    private val requestHandler = LeaderRequestHandler(state, ::overloadRefusalOf)
    private val router = RequestRouter(self.address, now)
    private val membershipManager = MembershipManager(replicaId, config.targetVoterCount, config.lostAfterMillis)
    private val replica =
        Replica(
            ReplicaConfig(
                replicaId,
                heartbeatMillis = config.heartbeatMillis,
                electionMinMillis = config.electionMinMillis,
                electionMaxMillis = config.electionMaxMillis,
                maxAppendBytes = MAX_APPEND_BYTES,
                maxInflight = MAX_INFLIGHT,
                maxInflightBytes = MAX_INFLIGHT_BYTES,
                keepBytes = config.snapshotBytes / 2,
                snapshotChunkBytes = SNAPSHOT_CHUNK_BYTES,
                seed = config.seed,
            ),
            config.bootstrap,
            durable,
            now,
        )
    private val peers = ControlPeers(self, config.seeds)
    private val statuses = StatusBroadcaster(peers)
    private val contact = ControlContact(self.address, now)
    private val workerReports = WorkerReportCache()
    private val proposals = ProposalTracker()
    private val configurationLog =
        ConfigurationLog({ state.configuration }, { "term=${replica.term} commit=${replica.commitIndex}" }, ::log)
    private val leadershipLog =
        LeadershipLog(self.address, now, { "leading=${dispatcher != null} term=${replica.term}" }, ::log)
    private val effects = ArrayList<NodeEffect>()
    private var dispatcher: Dispatcher? = null
    private var lastProposedAt = 0L
    private var membershipCheckDueAt = 0L
    private var lastBroadcastServing = false
    private var shutdownStartedAt = 0L
    private val isShuttingDown: Boolean get() = shutdownStartedAt > 0

    /** Whether the dispatcher has yet to be told which peers can ask the eligibility service. */
    private var peersChanged = true

    init {
        durable.snapshot?.let { state.restore(it.state) }
    }

    /** The replicated state, for tests and status pages. */
    val flow: FlowState get() = state
    val isLeader: Boolean get() = replica.isLeader

    override fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect> {
        leadershipLog.eventsHandled(now)
        events.forEach { handle(it, now) }
        updateLeadership(now)
        propose(now)
        updateConnections(now)
        if (isShuttingDown) completeShutdown(now)
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    override fun health(now: Long): NodeHealth =
        NodeHealth(
            serving(now),
            leaderAddress(now),
            replica.term,
            router.openCount,
            state.configuration?.limits,
            mapOf(
                "commit_index" to replica.commitIndex,
                "live_jobs" to state.liveJobCount.toLong(),
                "configuration_version" to (state.configuration?.version ?: 0),
                "connected_controls" to contact.count.toLong(),
                "without_controls_millis" to contact.lostForMillis(now),
                "held_bytes" to state.heldBytes,
                "usable_workers" to (dispatcher?.workerCounts(now)?.first?.toLong() ?: 0),
                "plans_by_delay_cost" to (dispatcher?.plansByDelayCost ?: 0),
                "longest_planning_turn_operations" to (dispatcher?.longestPlanningTurn?.toLong() ?: 0),
            ),
        )

    private fun serving(now: Long): Boolean = dispatcher != null && replica.holdsLease(now)

    private fun handle(
        event: NodeEvent,
        now: Long,
    ) {
        when (event) {
            NodeEvent.Tick -> tick(now)
            is NodeEvent.LinkUp -> {
                peers.peerConnected(event.peer)
                peersChanged = true
                log(NodeLogEvent.PEER_CONNECTED, event.peer.address, "zone=${event.peer.zone} replica=${event.peer.replica}")
                effects += contact.peerConnected(event.peer, now)
                effects += statuses.greeting(event.peer, currentStatus(now), now)
            }
            is NodeEvent.LinkDown -> {
                peersChanged = true
                contact.peerDisconnected(event.address, now)
                peers.peerDisconnected(event.address, now)?.let { step(ReplicaEvent.Disconnected(ReplicaId(it.replica)), now) }
                log(NodeLogEvent.PEER_LOST, event.address)
                updateLeader(now)
            }
            is NodeEvent.FrameReceived -> frameReceived(event.from, event.frame, now)
            is NodeEvent.RequestReceived -> requestReceived(event, now)
            is NodeEvent.Persisted -> step(ReplicaEvent.Persisted(event.sequence), now)
            is NodeEvent.ClockStepped -> {
                leadershipLog.clockStepped(event)
                step(ReplicaEvent.ClockDoubted, now)
                execute(router.clockDoubted(now), now)
            }
            is NodeEvent.WorkerReplied ->
                dispatcher
                    ?.takeIf {
                        FencingToken.termOf(event.call.fencingToken) == replica.term
                    }?.workerReplied(event.call, event.reply, event.sentAt, now)
            is NodeEvent.EligibilityReplied -> eligibilityReplied(event, now)
            is NodeEvent.SeedsChanged -> effects += peers.updateSeeds(event.seeds)
            NodeEvent.Shutdown -> {
                shutdownStartedAt = now
                step(ReplicaEvent.TransferLeadership(), now)
                broadcastStatus(now)
            }
        }
    }

    private fun tick(now: Long) {
        step(ReplicaEvent.Tick, now)
        workerReports.removeStale(now)
        peers.removeStale(now)
        updateLeader(now)
        if (leaderAddress(now) == null) effects += contact.tick(now) { peers.describeTargets() }
        if (statuses.isDue(now)) broadcastStatus(now)
        forwardReports(workerReports.takeDue(now))
        if (now >= membershipCheckDueAt) {
            membershipCheckDueAt = now + MEMBERSHIP_CHECK_PERIOD_MILLIS
            updateMembership(now)
        }
        execute(router.tick(now), now)
    }

    private fun eligibilityReplied(
        event: NodeEvent.EligibilityReplied,
        now: Long,
    ) {
        if (event.reply.tickets == null) log(NodeLogEvent.ELIGIBILITY_FAILED, event.reply.number.toString(), "asked by ${event.askedBy}")
        if (event.askedBy == self.address) {
            dispatcher?.eligibilityReplied(event.reply, now)
        } else {
            effects += NodeEffect.Send(event.askedBy, NodeFrame.EligibilityAnswer(event.reply.number, event.reply.tickets))
        }
    }

    private fun frameReceived(
        from: NodeIdentity,
        frame: NodeFrame,
        now: Long,
    ) {
        when (frame) {
            is NodeFrame.Replica -> if (frame.to == self.replica) step(ReplicaEvent.Received(ReplicaId(frame.from), frame.message), now)
            is NodeFrame.Status -> {
                peers.statusReceived(from.address, frame, now)
                // A process that shuts down waits for its replacement.
                if (frame.leaving) membershipCheckDueAt = now
                updateLeader(now)
            }
            is NodeFrame.Ask -> handleRequest(Caller(from, frame.number), frame.request, now)
            is NodeFrame.Answer -> answerReceived(from, frame, now)
            is NodeFrame.WorkerReported -> reportReceived(frame.report, now)
            is NodeFrame.AskEligibility ->
                effects += NodeEffect.AskEligibility(from.address, frame.number, frame.step, frame.workers, frame.timeoutMillis)
            is NodeFrame.EligibilityAnswer -> dispatcher?.eligibilityReplied(EligibilityReply(frame.number, frame.tickets), now)
            is NodeFrame.Hello -> Unit
        }
    }

    private fun answerReceived(
        from: NodeIdentity,
        frame: NodeFrame.Answer,
        now: Long,
    ) {
        if (frame.isFor(self)) {
            execute(router.answerReceived(frame.number, frame.answer, now), now)
        } else {
            log(NodeLogEvent.STALE_ANSWER, from.address, "number=${frame.number} incarnation=${frame.incarnation}")
        }
    }

    // Requests and worker reports

    private fun requestReceived(
        event: NodeEvent.RequestReceived,
        now: Long,
    ) {
        val request = event.request
        if (request is FlowRequest.Report) {
            reportReceived(request.report, now)
            workerReports.queueForward(request.report)
            // The next leader must know of a draining worker even if this process ends right after the acknowledgement.
            if (request.report.draining) forwardReports(workerReports.takeQueued(now))
            if (!request.report.draining) {
                effects += NodeEffect.Reply(event.number, FlowAnswer.Done)
                return
            }
        }
        execute(router.submit(event.number, request, now), now)
    }

    private fun forwardReports(reports: List<WorkerReport>) {
        if (reports.isEmpty()) return
        peers.controlAddresses().forEach { address ->
            reports.forEach { effects += NodeEffect.Send(address, NodeFrame.WorkerReported(it)) }
        }
    }

    /**
     * Whether [report] names a pool that is neither configured, nor needed by an accepted job, nor the known one of the worker with its
     * id: then it was not sent by that worker and says nothing about it.
     */
    private fun isForeign(report: WorkerReport): Boolean {
        val configuration = state.configuration ?: return false
        return configuration.pool(report.pool) == null &&
            !state.needsPool(report.pool) &&
            workerReports.poolOf(report.life.id) != report.pool
    }

    private fun reportReceived(
        report: WorkerReport,
        now: Long,
    ) {
        if (isForeign(report)) return
        if (workerReports.add(report, now)) dispatcher?.workerReported(report, now)
    }

    private fun execute(
        actions: List<RequestRouter.Action>,
        now: Long,
    ) = actions.forEach { action ->
        when (action) {
            is RequestRouter.Action.Forward -> effects += NodeEffect.Send(action.to, NodeFrame.Ask(action.number, action.request))
            is RequestRouter.Action.Reply -> {
                configurationLog.answered(action)
                effects += NodeEffect.Reply(action.number, action.answer)
            }
            is RequestRouter.Action.Handle -> handleRequest(Caller(self, action.number), action.request, now)
        }
    }

    private fun handleRequest(
        caller: Caller,
        request: FlowRequest,
        now: Long,
    ) {
        if (!serving(now)) {
            answer(caller, FlowAnswer.Refused(Refusal.NO_LEADER), now)
            return
        }
        if (request is FlowRequest.Report) reportReceived(request.report, now)
        if (request is FlowRequest.Leave) dispatcher?.workerLeft(request.worker, now)
        when (val decision = requestHandler.decide(request, now)) {
            is RequestDecision.Immediate -> {
                if (decision.answer is FlowAnswer.Refused) logRefusal(request, decision.answer)
                if (decision.answer is FlowAnswer.ConfigurationIs) configurationLog.read(caller)
                if (request is FlowRequest.Configure) configurationLog.acknowledged(caller, request.subject)
                answer(caller, decision.answer, now)
            }
            is RequestDecision.Overloaded -> {
                val refusal = decision.refusal
                log(refusal.reason.event, decision.id, "retryAfter=${refusal.retryAfterMillis}ms ${refusal.detail}")
                answer(caller, FlowAnswer.Refused(Refusal.OVERLOADED, refusal.retryAfterMillis), now)
            }
            is RequestDecision.Commit -> {
                val proposal = Proposal(decision.command, caller)
                if (proposals.hasRoomFor(proposal)) {
                    proposals.add(proposal)
                } else {
                    // Not a refusal: an earlier copy of the request may be among the commands in progress.
                    log(NodeLogEvent.REQUEST_UNKNOWN, request.subject, "reason=commands in progress are too large")
                    answer(caller, FlowAnswer.OutcomeUnknown, now)
                }
            }
        }
    }

    /** A job is not refused while an earlier copy of its submission may be committed. */
    private fun overloadRefusalOf(
        job: JobRequest,
        queue: Queue,
        now: Long,
    ): OverloadRefusal? = if (proposals.isSubmitting(job.id)) null else admission.refusalOf(job, queue, dispatcher, now)

    private fun logRefusal(
        request: FlowRequest,
        answer: FlowAnswer.Refused,
    ) {
        val event = if (request is FlowRequest.Submit) NodeLogEvent.JOB_REFUSED else NodeLogEvent.REQUEST_REFUSED
        log(
            event,
            request.subject,
            "reason=${answer.reason} configuration=${state.configuration?.version} retryAfter=${answer.retryAfterMillis}",
        )
    }

    private fun answer(
        caller: Caller,
        answer: FlowAnswer,
        now: Long,
    ) {
        if (caller.address == self.address) {
            execute(router.answerReceived(caller.number, answer, now), now)
        } else {
            effects += NodeEffect.Send(caller.address, NodeFrame.Answer(caller.number, answer, caller.incarnation))
        }
    }

    // Leadership and replication

    private fun updateLeadership(now: Long) {
        if (replica.isLeader && dispatcher == null && replica.holdsLease(now)) {
            val newDispatcher = Dispatcher(state, config.dispatch, replica.term, now)
            workerReports.all.forEach { newDispatcher.workerReported(it.report, it.receivedAt) }
            dispatcher = newDispatcher
            peersChanged = true
            log(
                NodeLogEvent.LEADING,
                self.address,
                "term=${replica.term} configuration=${state.configuration?.version} inherited=${newDispatcher.inheritedRuns} " +
                    "commit=${replica.commitIndex}",
            )
        }
        val active = dispatcher ?: return
        if (serving(now)) {
            if (peersChanged) active.setEligibilityCallers(peers.addresses + self.address)
            peersChanged = false
            active.dispatchDue(now)
        }
        collectEffects(active)
        if (serving(now) != lastBroadcastServing) broadcastStatus(now)
    }

    private fun collectEffects(active: Dispatcher) =
        active.drain().forEach { effect ->
            when (effect) {
                is DispatchEffect.Propose -> proposals.add(Proposal(effect.command, null))
                is DispatchEffect.Call -> effects += NodeEffect.CallWorker(effect.call, effect.timeoutMillis)
                is DispatchEffect.AskEligibility -> {
                    val query = effect.request
                    effects +=
                        if (query.caller == self.address) {
                            NodeEffect.AskEligibility(self.address, query.number, query.step.toString(), query.workers, query.timeoutMillis)
                        } else {
                            NodeEffect.Send(
                                query.caller,
                                NodeFrame.AskEligibility(query.number, query.step.toString(), query.workers, query.timeoutMillis),
                            )
                        }
                }
                is DispatchEffect.LogEvent ->
                    effects +=
                        NodeEffect.LogEvent(EventLogEntry(effect.event, effect.subject, effect.detail, effect.durationMillis))
            }
        }

    private fun propose(now: Long) {
        // Nothing is added to the latency of an idle group: without uncommitted entries, commands are appended at once.
        val isCommitPending = replica.isLeader && replica.lastIndex > replica.commitIndex
        if (isCommitPending && now - lastProposedAt < PROPOSAL_GAP_MILLIS) return
        val batch = proposals.takeQueued()
        if (batch.isEmpty()) return
        lastProposedAt = now
        val first = replica.lastIndex + 1
        if (replica.isLeader) {
            proposals.appended(first, batch)
            step(ReplicaEvent.Propose(batch.map { Codec.encode(COMMAND_SERIALIZER, it.command) }), now)
            if (replica.lastIndex >= first) return
            // A leader that is transferring its leadership accepts no proposals.
            proposals.rejected(first, batch.size)
        }
        batch.forEach { proposal -> proposal.caller?.let { answer(it, FlowAnswer.Refused(Refusal.NO_LEADER), now) } }
    }

    private fun step(
        event: ReplicaEvent,
        now: Long,
    ) {
        replica.handle(event, now).forEach { execute(it, now) }
        val isSnapshotDue =
            replica.commitIndex - replica.snapshotIndex >= config.snapshotEvery || replica.bytesSinceSnapshot >= config.snapshotBytes
        if (isSnapshotDue) {
            replica.handle(ReplicaEvent.Compact(replica.commitIndex, state.snapshot()), now).forEach { execute(it, now) }
        }
    }

    private fun execute(
        effect: ReplicaEffect,
        now: Long,
    ) {
        when (effect) {
            is ReplicaEffect.Send ->
                effects +=
                    NodeEffect.Send(MembershipManager.addressOf(effect.to), NodeFrame.Replica(self.replica, effect.to.name, effect.message))
            is ReplicaEffect.Persist -> effects += NodeEffect.Persist(effect)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(it, now) }
            is ReplicaEffect.Restore -> {
                state.restore(effect.snapshot.state)
                configurationLog.restored()
            }
            is ReplicaEffect.RoleChanged -> roleChanged(effect, now)
        }
    }

    private fun apply(
        entry: LogEntry,
        now: Long,
    ) {
        if (entry.kind != EntryKind.COMMAND) return
        val command = Codec.decode(COMMAND_SERIALIZER, entry.payload)
        val outcome = state.apply(command)
        dispatcher?.commandApplied(command, outcome, now)
        if (command is FlowCommand.Configure) configurationLog.applied(command, entry, outcome)
        val caller = proposals.committed(entry.index) ?: return
        logApplied(command, caller)
        answer(caller, if (outcome == FlowOutcome.NoSuchJob) FlowAnswer.Refused(Refusal.UNKNOWN_JOB) else FlowAnswer.Done, now)
    }

    private fun logApplied(
        command: FlowCommand,
        caller: Caller,
    ) {
        when (command) {
            is FlowCommand.Submit ->
                log(
                    NodeLogEvent.JOB_ACCEPTED,
                    command.request.id,
                    "queue=${command.request.queue} team=${command.request.team}",
                )
            is FlowCommand.Cancel -> log(NodeLogEvent.JOB_CANCELLED, command.job)
            is FlowCommand.Configure -> configurationLog.acknowledged(caller, command.configuration.version.toString())
            is FlowCommand.SetZone -> log(NodeLogEvent.ZONE_CHANGED, command.zone, "drained=${command.drained}")
            else -> Unit
        }
    }

    private fun roleChanged(
        change: ReplicaEffect.RoleChanged,
        now: Long,
    ) {
        leadershipLog.leaderChanged(change)
        if (change.role == Role.LEADER) return
        dispatcher?.let { leadershipLog.leadershipLost(it, change) }
        dispatcher = null
        // Commands that were not appended belong to the lost term and have not run.
        proposals.takeQueued().forEach { proposal ->
            proposal.caller?.let { answer(it, FlowAnswer.Refused(Refusal.NO_LEADER), now) }
        }
        proposals.abandonAll().forEach { answer(it, FlowAnswer.OutcomeUnknown, now) }
        if (lastBroadcastServing) broadcastStatus(now)
    }

    // Peers and membership

    private fun currentStatus(now: Long) =
        NodeFrame.Status(
            peers.knownControls(replica.members),
            leaderAddress(now),
            replica.term,
            serving(now) && !isShuttingDown,
            state.configuration?.limits,
            state.configuration?.version ?: 0,
            leaving = isShuttingDown,
        )

    private fun broadcastStatus(now: Long) {
        lastBroadcastServing = serving(now)
        effects += statuses.broadcast(currentStatus(now), now)
    }

    private fun leaderAddress(now: Long): String? = if (serving(now)) self.address else peers.leader(now)

    private fun updateLeader(now: Long) = execute(router.leaderChanged(leaderAddress(now), now), now)

    private fun updateMembership(now: Long) {
        membershipManager.observe(replica.members, peers.replicas(), now)
        if (!replica.isLeader || !replica.holdsLease(now)) return
        val next = membershipManager.nextMembers(replica.members, peers.replicas(), replica::caughtUp, now) ?: return
        log(NodeLogEvent.MEMBERS_PROPOSED, self.address, "voters=${next.voters.sorted()} learners=${next.learners.sorted()}")
        step(ReplicaEvent.ProposeMembers(next), now)
    }

    private fun updateConnections(now: Long) {
        val leader = leaderAddress(now)
        val targets = peers.newTargets(replica.members, hasLeader = leader != null, now) ?: return
        log(NodeLogEvent.CONTROLS_DIALLED, self.address, "dialled=${peers.describeTargets()} leader=$leader")
        effects += NodeEffect.Connect(targets)
    }

    private fun completeShutdown(now: Long) {
        val handedOver = !replica.isLeader && !awaitsReplacement() && proposals.isIdle && router.openCount == 0
        if (handedOver || now - shutdownStartedAt > SHUTDOWN_TIMEOUT_MILLIS) effects += NodeEffect.ShutdownComplete
    }

    /** Whether this replica is still a voter although another one can take its place or has already been added. */
    private fun awaitsReplacement(): Boolean {
        val members = replica.members
        if (replicaId !in members.voters) return false
        return members.voters.size > config.targetVoterCount || peers.replicas().any { it.id in members.learners && !it.leaving }
    }

    private fun log(
        event: NodeLogEvent,
        subject: String,
        detail: String = "",
    ) {
        effects += NodeEffect.LogEvent(EventLogEntry(event, subject, detail))
    }

    private companion object {
        val COMMAND_SERIALIZER = FlowCommand.serializer()

        /**
         * Minimum time between two appends while an entry is uncommitted, about one sync of a disk: commands that arrive in
         * between share their messages, their syncs and the wake-ups of all replicas. Small beside the 250 ms within which urgent
         * jobs are to start.
         */
        const val PROPOSAL_GAP_MILLIS = 10L

        /** Small enough that a replica that is catching up does not delay the others. */
        const val MAX_APPEND_BYTES = 48 * 1024
        const val SNAPSHOT_CHUNK_BYTES = 48 * 1024
        const val MAX_INFLIGHT = 24
        const val MAX_INFLIGHT_BYTES = 512L * 1024
        const val MEMBERSHIP_CHECK_PERIOD_MILLIS = 200L
        const val SHUTDOWN_TIMEOUT_MILLIS = 2_000L
    }
}
