package rhubarbknot.flow.node

import rhubarbknot.core.model.Codec
import rhubarbknot.flow.dispatch.DispatchEffect
import rhubarbknot.flow.dispatch.DispatchSettings
import rhubarbknot.flow.dispatch.Dispatcher
import rhubarbknot.flow.dispatch.EligibilityReply
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
 * @property seeds control nodes to start from.
 * @property bootstrap first members of the group; empty on a replica that joins a group that exists.
 * @property targetVoterCount voters of a whole group: one more than twice what may be lost at once.
 * @property snapshotEvery log entries between two snapshots.
 */
data class ControlConfig(
    val self: NodeIdentity,
    val seeds: Set<String>,
    val bootstrap: Members,
    val targetVoterCount: Int,
    val dispatch: DispatchSettings = DispatchSettings(),
    val snapshotEvery: Long = 4_000,
    val heartbeatMillis: Long = 80,
    val electionMinMillis: Long = 400,
    val electionMaxMillis: Long = 650,
    val seed: Long = 1,
)

/**
 * A process with a replica of the state. The one that leads also checks requests and deals with the workers; the
 * others bring what they are asked to it.
 */
class ControlNode(
    private val config: ControlConfig,
    durable: DurableState,
    now: Long,
) : FlowNode {
    private val self = config.self
    private val replicaId = ReplicaId(self.replica)
    private val state = FlowState()
    private val desk = LeaderRequestHandler(state)
    private val router = RequestRouter(self.address, now)
    private val keeper = MembershipManager(replicaId, config.targetVoterCount)
    private val replica =
        Replica(
            ReplicaConfig(
                replicaId,
                heartbeatMillis = config.heartbeatMillis,
                electionMinMillis = config.electionMinMillis,
                electionMaxMillis = config.electionMaxMillis,
                maxAppendBytes = MAX_APPEND_BYTES,
                maxInflight = MAX_INFLIGHT,
                snapshotChunkBytes = SNAPSHOT_CHUNK_BYTES,
                seed = config.seed,
            ),
            config.bootstrap,
            durable,
            now,
        )
    private val peers = ControlPeers(self, config.seeds)
    private val directory = LinkedHashMap<String, Known>()
    private val proposals = ProposalTracker()
    private val effects = ArrayList<NodeEffect>()
    private var dispatcher: Dispatcher? = null
    private var statusDueAt = 0L
    private var membersDueAt = 0L
    private var announcedServing = false
    private var drainingSince = 0L

    init {
        durable.snapshot?.let { state.restore(it.state) }
    }

    /** The state, for tests and status pages. */
    val flow: FlowState get() = state
    val isLeader: Boolean get() = replica.isLeader

    override fun handle(
        events: List<NodeEvent>,
        now: Long,
    ): List<NodeEffect> {
        events.forEach { handle(it, now) }
        lead(now)
        propose(now)
        connect()
        if (drainingSince > 0) finish(now)
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
                "usable_workers" to (dispatcher?.workerCounts(now)?.first?.toLong() ?: 0),
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
                peers.up(event.peer)
                note(NodeLogEvent.PEER_CONNECTED, event.peer.address, "zone=${event.peer.zone} replica=${event.peer.replica}")
                effects += NodeEffect.Send(event.peer.address, status(now))
            }
            is NodeEvent.LinkDown -> {
                peers.down(event.address)?.let { drive(ReplicaEvent.Disconnected(ReplicaId(it.replica)), now) }
                note(NodeLogEvent.PEER_LOST, event.address)
                followLeader(now)
            }
            is NodeEvent.FrameReceived -> received(event.from, event.frame, now)
            is NodeEvent.RequestReceived -> asked(event, now)
            is NodeEvent.Persisted -> drive(ReplicaEvent.Persisted(event.sequence), now)
            is NodeEvent.WorkerReplied ->
                dispatcher
                    ?.takeIf {
                        event.call.fencingToken == replica.term
                    }?.workerReplied(event.call, event.reply, event.sentAt, now)
            is NodeEvent.EligibilityReplied -> eligibility(event, now)
            NodeEvent.Shutdown -> {
                drainingSince = now
                drive(ReplicaEvent.TransferLeadership(), now)
            }
        }
    }

    private fun tick(now: Long) {
        drive(ReplicaEvent.Tick, now)
        directory.values.removeIf { now - it.at > DIRECTORY_MILLIS }
        peers.forgetSilent(now)
        followLeader(now)
        if (now >= statusDueAt) announce(now)
        if (now >= membersDueAt) {
            membersDueAt = now + MEMBERS_PERIOD_MILLIS
            keepMembers(now)
        }
        carryOut(router.tick(now), now)
    }

    private fun eligibility(
        event: NodeEvent.EligibilityReplied,
        now: Long,
    ) {
        if (event.reply.tickets == null) note(NodeLogEvent.ELIGIBILITY_FAILED, event.reply.number.toString(), "asked by ${event.askedBy}")
        if (event.askedBy == self.address) {
            dispatcher?.eligibilityReplied(event.reply, now)
        } else {
            effects += NodeEffect.Send(event.askedBy, NodeFrame.EligibilityAnswer(event.reply.number, event.reply.tickets))
        }
    }

    private fun received(
        from: NodeIdentity,
        frame: NodeFrame,
        now: Long,
    ) {
        when (frame) {
            is NodeFrame.Replica -> if (frame.to == self.replica) drive(ReplicaEvent.Received(ReplicaId(frame.from), frame.message), now)
            is NodeFrame.Status -> {
                peers.heard(from.address, frame, now)
                followLeader(now)
            }
            is NodeFrame.Ask -> judge(Caller(from.address, frame.number), frame.request, now)
            is NodeFrame.Answer -> carryOut(router.answered(frame.number, frame.answer, now), now)
            is NodeFrame.WorkerReported -> known(frame.report, now)
            is NodeFrame.AskEligibility ->
                effects += NodeEffect.AskEligibility(from.address, frame.number, frame.step, frame.workers, frame.timeoutMillis)
            is NodeFrame.EligibilityAnswer -> dispatcher?.eligibilityReplied(EligibilityReply(frame.number, frame.tickets), now)
            is NodeFrame.Hello -> Unit
        }
    }

    // Requests

    private fun asked(
        event: NodeEvent.RequestReceived,
        now: Long,
    ) {
        val request = event.request
        if (request is FlowRequest.Report) {
            known(request.report, now)
            peers.controls().forEach { effects += NodeEffect.Send(it, NodeFrame.WorkerReported(request.report)) }
            if (!request.report.draining) {
                effects += NodeEffect.Reply(event.number, FlowAnswer.Done)
                return
            }
        }
        carryOut(router.ask(event.number, request, now), now)
    }

    private fun known(
        report: WorkerReport,
        now: Long,
    ) {
        val before = directory[report.life.id]
        if (before != null && !report.isNewerThan(before.report)) return
        directory[report.life.id] = Known(report, now)
        dispatcher?.workerReported(report, now)
    }

    private fun carryOut(
        steps: List<RequestRouter.Step>,
        now: Long,
    ) = steps.forEach { step ->
        when (step) {
            is RequestRouter.Step.Forward -> effects += NodeEffect.Send(step.to, NodeFrame.Ask(step.number, step.request))
            is RequestRouter.Step.Reply -> effects += NodeEffect.Reply(step.number, step.answer)
            is RequestRouter.Step.Handle -> judge(Caller(self.address, step.number), step.request, now)
        }
    }

    private fun judge(
        caller: Caller,
        request: FlowRequest,
        now: Long,
    ) {
        if (!serving(now)) {
            answer(caller, FlowAnswer.Refused(Refusal.NO_LEADER), now)
            return
        }
        if (request is FlowRequest.Report) known(request.report, now)
        if (request is FlowRequest.Leave) dispatcher?.workerLeft(request.worker, now)
        when (val verdict = desk.judge(request, now)) {
            is RequestDecision.Immediate -> {
                if (verdict.answer is FlowAnswer.Refused) noteRefusal(request, verdict.answer)
                answer(caller, verdict.answer, now)
            }
            is RequestDecision.Commit -> proposals.add(Proposal(verdict.command, caller))
        }
    }

    private fun noteRefusal(
        request: FlowRequest,
        answer: FlowAnswer.Refused,
    ) {
        val event = if (request is FlowRequest.Submit) NodeLogEvent.JOB_REFUSED else NodeLogEvent.REQUEST_REFUSED
        note(
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
            carryOut(router.answered(caller.number, answer, now), now)
        } else {
            effects += NodeEffect.Send(caller.address, NodeFrame.Answer(caller.number, answer))
        }
    }

    // Leading

    private fun lead(now: Long) {
        if (replica.isLeader && dispatcher == null && replica.holdsLease(now)) {
            val fresh = Dispatcher(state, config.dispatch, replica.term, now)
            directory.values.forEach { fresh.workerReported(it.report, it.at) }
            dispatcher = fresh
            note(NodeLogEvent.LEADING, self.address, "term=${replica.term} configuration=${state.configuration?.version}")
        }
        val leading = dispatcher ?: return
        if (serving(now)) {
            leading.setEligibilityCallers(peers.addresses + self.address)
            leading.dispatchDue(now)
        }
        collect(leading)
        if (serving(now) != announcedServing) announce(now)
    }

    private fun collect(leading: Dispatcher) =
        leading.drain().forEach { effect ->
            when (effect) {
                is DispatchEffect.Propose -> proposals.add(Proposal(effect.command, null))
                is DispatchEffect.Call -> effects += NodeEffect.CallWorker(effect.call, effect.timeoutMillis)
                is DispatchEffect.AskEligibility -> {
                    val q = effect.request
                    effects +=
                        if (q.caller == self.address) {
                            NodeEffect.AskEligibility(self.address, q.number, q.step.toString(), q.workers, q.timeoutMillis)
                        } else {
                            NodeEffect.Send(q.caller, NodeFrame.AskEligibility(q.number, q.step.toString(), q.workers, q.timeoutMillis))
                        }
                }
                is DispatchEffect.LogEvent ->
                    effects +=
                        NodeEffect.LogEvent(EventLogEntry(effect.event.name, effect.subject, effect.detail, effect.durationMillis))
            }
        }

    private fun propose(now: Long) {
        val batch = proposals.takeAll()
        if (batch.isEmpty()) return
        val first = replica.lastIndex + 1
        if (replica.isLeader) {
            proposals.proposed(first, batch)
            drive(ReplicaEvent.Propose(batch.map { Codec.encode(COMMANDS, it.command) }), now)
            if (replica.lastIndex >= first) return
            // A leader that hands over takes no more proposals.
            proposals.withdrawn(first, batch.size)
        }
        batch.forEach { proposal -> proposal.caller?.let { answer(it, FlowAnswer.Refused(Refusal.NO_LEADER), now) } }
    }

    private fun drive(
        event: ReplicaEvent,
        now: Long,
    ) {
        replica.handle(event, now).forEach { carryOut(it, now) }
        if (replica.commitIndex - replica.snapshotIndex >= config.snapshotEvery) {
            replica.handle(ReplicaEvent.Compact(replica.commitIndex, state.snapshot()), now).forEach { carryOut(it, now) }
        }
    }

    private fun carryOut(
        effect: ReplicaEffect,
        now: Long,
    ) {
        when (effect) {
            is ReplicaEffect.Send ->
                effects +=
                    NodeEffect.Send(MembershipManager.machineOf(effect.to), NodeFrame.Replica(self.replica, effect.to.name, effect.message))
            is ReplicaEffect.Persist -> effects += NodeEffect.Persist(effect)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(it, now) }
            is ReplicaEffect.Restore -> state.restore(effect.snapshot.state)
            is ReplicaEffect.RoleChanged -> roleChanged(effect.role, now)
        }
    }

    private fun apply(
        entry: LogEntry,
        now: Long,
    ) {
        if (entry.kind != EntryKind.COMMAND) return
        val command = Codec.decode(COMMANDS, entry.payload)
        val outcome = state.apply(command)
        dispatcher?.commandApplied(command, outcome, now)
        val caller = proposals.committed(entry.index) ?: return
        noteApplied(command)
        answer(caller, if (outcome == FlowOutcome.NoSuchJob) FlowAnswer.Refused(Refusal.UNKNOWN_JOB) else FlowAnswer.Done, now)
    }

    private fun noteApplied(command: FlowCommand) {
        when (command) {
            is FlowCommand.Submit ->
                note(
                    NodeLogEvent.JOB_ACCEPTED,
                    command.request.id,
                    "queue=${command.request.queue} team=${command.request.team}",
                )
            is FlowCommand.Cancel -> note(NodeLogEvent.JOB_CANCELLED, command.job)
            is FlowCommand.Configure -> note(NodeLogEvent.CONFIGURATION_APPLIED, command.configuration.version.toString())
            is FlowCommand.SetZone -> note(NodeLogEvent.ZONE_CHANGED, command.zone, "drained=${command.drained}")
            else -> Unit
        }
    }

    private fun roleChanged(
        role: Role,
        now: Long,
    ) {
        if (role == Role.LEADER) return
        dispatcher = null
        proposals.abandoned().forEach { answer(it, FlowAnswer.OutcomeUnknown, now) }
        if (announcedServing) announce(now)
    }

    // Peers

    private fun status(now: Long) =
        NodeFrame.Status(
            peers.knownControls(replica.members),
            leaderAddress(now),
            replica.term,
            serving(now) && drainingSince == 0L,
            state.configuration?.limits,
        )

    private fun announce(now: Long) {
        statusDueAt = now + STATUS_PERIOD_MILLIS
        announcedServing = serving(now)
        val frame = status(now)
        peers.addresses.forEach { effects += NodeEffect.Send(it, frame) }
    }

    private fun leaderAddress(now: Long): String? = if (serving(now)) self.address else peers.leader(now)

    private fun followLeader(now: Long) = carryOut(router.leaderIs(leaderAddress(now), now), now)

    private fun keepMembers(now: Long) {
        if (!replica.isLeader || !replica.holdsLease(now)) return
        val next = keeper.next(replica.members, peers.replicas(), replica::caughtUp, now) ?: return
        note(NodeLogEvent.MEMBERS_PROPOSED, self.address, "voters=${next.voters.sorted()} learners=${next.learners.sorted()}")
        drive(ReplicaEvent.ProposeMembers(next), now)
    }

    private fun connect() {
        peers.newTargets(replica.members)?.let { effects += NodeEffect.Connect(it) }
    }

    private fun finish(now: Long) {
        val handedOver = !replica.isLeader && proposals.isIdle && router.openCount == 0
        if (handedOver || now - drainingSince > SHUTDOWN_MILLIS) effects += NodeEffect.ShutdownComplete
    }

    private fun note(
        event: NodeLogEvent,
        subject: String,
        detail: String = "",
    ) {
        effects += NodeEffect.LogEvent(EventLogEntry(event.name, subject, detail))
    }

    private class Known(
        val report: WorkerReport,
        val at: Long,
    )

    private companion object {
        val COMMANDS = FlowCommand.serializer()

        /** Small enough that a replica that catches up does not hold up the others. */
        const val MAX_APPEND_BYTES = 48 * 1024
        const val SNAPSHOT_CHUNK_BYTES = 48 * 1024
        const val MAX_INFLIGHT = 24
        const val STATUS_PERIOD_MILLIS = 400L
        const val MEMBERS_PERIOD_MILLIS = 200L
        const val DIRECTORY_MILLIS = 20_000L
        const val SHUTDOWN_MILLIS = 2_000L
    }
}
