package rhubarbknot.host

import rhubarbknot.core.cell.Cell
import rhubarbknot.core.cell.CellBatch
import rhubarbknot.core.cell.CellCommand
import rhubarbknot.core.cell.CellEffect
import rhubarbknot.core.cell.Job
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.JobId
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.quorum.ReplicaEvent
import rhubarbknot.quorum.Role

/** The replicated cell state of the host's own zone, plus the leader's duties: requests, executors and the zone lease. */
internal class CellCoordinator(
    private val host: HostContext,
    private val zone: ZoneId,
    private val registry: Registry,
) : ReplicatedStateMachine {
    val cell = Cell(host.config.cellPolicy)
    private val groupId = GroupId.cell(zone)
    private val group get() = host.group(groupId)
    private val commands = ArrayList<CellCommand>()
    private val origins = HashMap<RequestId, PendingCaller>()
    private val waiters = HashMap<JobId, LinkedHashMap<RequestId, PendingCaller>>()
    private val lookup = JobLookup(host, zone, cell, registry)
    val executors = ExecutorSessionManager(host, groupId, cell, ::propose) { zoneLeaseExpiresAt > host.now }

    /** End of the zone lease, by this host's clock. */
    private var zoneLeaseExpiresAt = Long.MIN_VALUE
    private var nextRenewal = 0L
    private var nextTick = 0L
    private var proposedVersion = 0L
    private var proposedHold: Boolean? = null
    private var clockOffset = 0L

    private class PendingCaller(
        val origin: RequestOrigin,
        val deadline: Long,
    )

    // State

    override fun apply(
        payload: ByteArray,
        ours: Boolean,
    ) {
        val batch = Codec.decode(CellBatch.serializer(), payload)
        val effects = cell.reduce(batch)
        if (!ours) return
        effects.forEach { execute(it) }
        batch.commands.forEach { if (it is CellCommand.Join) executors.joined(it.info.id) }
        // Reports at once to the registry that the change is in force here instead of waiting for the next renewal.
        if (batch.commands.any { it is CellCommand.Configure }) renewLease()
    }

    override fun snapshot(): ByteArray = cell.snapshot()

    override fun restore(state: ByteArray) {
        if (state.isNotEmpty()) cell.restore(state)
    }

    override fun roleChanged(role: Role) {
        zoneLeaseExpiresAt = Long.MIN_VALUE
        proposedVersion = 0
        proposedHold = null
        commands.clear()
        if (role == Role.LEADER) {
            clockOffset = maxOf(0, cell.state.now - host.now)
            nextRenewal = host.now
            nextTick = host.now
            executors.begin()
            host.broadcast(PeerFrame.Leading(groupId, group.term))
            return
        }
        val pendingCallers = origins.values + waiters.values.flatMap { it.values }
        origins.clear()
        waiters.clear()
        pendingCallers.forEach { host.respond(it.origin, ApiResponse.Retry()) }
        executors.end()
    }

    private fun propose(command: CellCommand) {
        commands += command
    }

    /** Proposes all commands queued since the last call as one log entry. */
    fun flush() {
        if (commands.isEmpty()) return
        val batch = CellBatch(maxOf(cell.state.now, host.now + clockOffset), commands.toList())
        commands.clear()
        if (group.isLeader) group.handle(ReplicaEvent.Propose(listOf(Codec.encode(CellBatch.serializer(), batch))), host.now)
    }

    // Requests

    /** Handles a request addressed to this zone. */
    fun process(
        origin: RequestOrigin,
        request: ApiRequest,
    ) {
        if (!group.isLeader) {
            host.respond(origin, ApiResponse.Retry(group.leader))
            return
        }
        when (request) {
            is ApiRequest.Submit -> submit(origin, request)
            is ApiRequest.LookUp -> lookUp(origin, request)
            is ApiRequest.Cancel -> cancel(origin, request)
            is ApiRequest.ReadZone -> if (group.holdsLease(host.now)) host.respond(origin, lookup.zone(group)) else retry(origin)
            else -> host.respond(origin, ApiResponse.Refused(RefusalReason.BAD_REQUEST, "not a request for a zone"))
        }
    }

    private fun retry(origin: RequestOrigin) = host.respond(origin, ApiResponse.Retry())

    private fun submit(
        origin: RequestOrigin,
        request: ApiRequest.Submit,
    ) {
        if (origin.id in origins) return
        val caller = PendingCaller(origin, host.now + request.waitMillis)
        val team = KeyCheck.teamFor(registry, request.keyHash, request.queue)
        if (team == null) {
            host.respond(origin, KeyCheck.refusal(registry, request.queue))
            return
        }
        val job = JobId(team, request.localId)
        val known = cell.job(job)
        val home = HomeZone.of(job, registry.state.zones.keys)
        when {
            known == null && home != null && home != zone -> host.respond(origin, ApiResponse.Elsewhere(home))
            known != null && group.holdsLease(host.now) -> resend(caller, known, request)
            zoneLeaseExpiresAt <= host.now -> respondWithoutZoneLease(origin, job)
            else -> {
                origins[origin.id] = caller
                propose(CellCommand.Submit(origin.id, job, request.queue, request.spec, request.fingerprint))
            }
        }
    }

    /** Answers a resent submission of a known job. This accepts no new work, so it does not need the zone lease. */
    private fun resend(
        caller: PendingCaller,
        known: Job,
        request: ApiRequest.Submit,
    ) {
        if (known.fingerprint != request.fingerprint) {
            val detail = "id ${request.localId} was used for another request"
            host.respond(caller.origin, ApiResponse.Refused(RefusalReason.ID_REUSED, detail))
        } else {
            answerOrWait(known.id, caller)
        }
    }

    private fun answerOrWait(
        id: JobId,
        caller: PendingCaller,
    ) {
        val answer = lookup.describe(id)
        val open = answer is ApiResponse.Job && answer.status.outcome == null
        if (open && caller.deadline > host.now) wait(id, caller) else host.respond(caller.origin, answer)
    }

    private fun respondWithoutZoneLease(
        origin: RequestOrigin,
        job: JobId,
    ) {
        // A resend of a known job must not be refused, since a refusal states that nothing ran.
        if (cell.state.held && cell.job(job) == null && group.holdsLease(host.now)) {
            host.respond(origin, ApiResponse.Refused(RefusalReason.ZONE_UNREACHABLE, "zone $zone is cut off and takes no new work"))
        } else {
            retry(origin)
        }
    }

    private fun lookUp(
        origin: RequestOrigin,
        request: ApiRequest.LookUp,
    ) {
        if (!group.holdsLease(host.now)) {
            retry(origin)
            return
        }
        val refused = lookup.refusal(request)
        if (refused ==
            null
        ) {
            answerOrWait(request.job, PendingCaller(origin, host.now + request.waitMillis))
        } else {
            host.respond(origin, refused)
        }
    }

    private fun wait(
        job: JobId,
        caller: PendingCaller,
    ) {
        waiters.getOrPut(job) { LinkedHashMap() }.putIfAbsent(caller.origin.id, caller)
    }

    private fun cancel(
        origin: RequestOrigin,
        request: ApiRequest.Cancel,
    ) {
        val refused =
            request.jobs
                .map { it.team }
                .distinct()
                .firstOrNull { !KeyCheck.mayRead(registry, request.keyHash, it) }
        if (refused != null) {
            host.respond(origin, ApiResponse.Refused(RefusalReason.BAD_KEY, "this key is not one of team $refused"))
            return
        }
        origins[origin.id] = PendingCaller(origin, Long.MAX_VALUE)
        propose(CellCommand.Cancel(origin.id, request.jobs))
    }

    // Effects

    private fun execute(effect: CellEffect) {
        when (effect) {
            is CellEffect.Start -> executors.start(effect)
            is CellEffect.Stop -> executors.stop(effect)
            is CellEffect.EndRecorded -> executors.endRecorded(effect)
            is CellEffect.Accepted -> accepted(effect)
            is CellEffect.Refused ->
                origins.remove(effect.request)?.let {
                    host.respond(it.origin, ApiResponse.Refused(effect.reason, effect.detail))
                }
            is CellEffect.Cancelled ->
                origins.remove(effect.request)?.let {
                    host.respond(it.origin, ApiResponse.Cancelled(effect.stopped, effect.missing))
                }
            is CellEffect.Finished -> waiters.remove(effect.job)?.values?.forEach { host.respond(it.origin, lookup.describe(effect.job)) }
            is CellEffect.MoveOut -> host.sendToZone(effect.zone, PeerFrame.MoveOffer(effect.transfer, zone, effect.zone))
            is CellEffect.Adopted -> host.sendToZone(effect.from, PeerFrame.MoveAccepted(effect.job, zone, effect.from, effect.up))
        }
    }

    private fun accepted(effect: CellEffect.Accepted) {
        val caller = origins.remove(effect.request) ?: return
        answerOrWait(effect.job, caller)
    }

    fun moveOffered(frame: PeerFrame.MoveOffer) {
        if (zoneLeaseExpiresAt > host.now) propose(CellCommand.Adopt(frame.transfer, frame.from))
    }

    fun moveAccepted(frame: PeerFrame.MoveAccepted) = propose(CellCommand.Moved(frame.job, frame.zone, frame.up))

    // Zone lease and timers

    fun leaseGranted(grant: PeerFrame.LeaseGrant) {
        if (group.isLeader) zoneLeaseExpiresAt = maxOf(zoneLeaseExpiresAt, grant.sentAtMillis + grant.leaseMillis)
    }

    private fun renewLease() {
        val registryLeader = host.group(GroupId.REGISTRY).leader ?: return
        // Keys are checked against this host's registry and rows against the cell's state, so the older version is in force.
        val version = minOf(cell.state.configVersion, registry.version)
        val renewal = PeerFrame.LeaseRenewal(zone, host.now, version, cell.loads(), cell.offer(zone))
        nextRenewal = host.now + host.config.zoneRenewMillis
        host.send(registryLeader, renewal)
    }

    fun tick() {
        if (!group.isLeader) return
        if (host.now >= nextRenewal) renewLease()
        proposeConfiguration()
        holdOrRelease()
        executors.tick()
        expireWaiters()
        if (host.now >= nextTick && cell.nextWakeMillis() != null) {
            nextTick = host.now + maxOf(host.config.cellTickMillis, checkNotNull(cell.nextWakeMillis()))
            propose(CellCommand.Tick)
        }
    }

    /**
     * Proposes the latest registry state to the cell, one version at a time. The first proposal of a term is the full
     * state, since entries of an earlier leader may still be uncommitted; later ones are diffs.
     */
    fun proposeConfiguration() {
        if (!group.isLeader || registry.version <= cell.state.configVersion || cell.state.configVersion < proposedVersion) return
        val view = ZoneView.of(registry.state, zone) ?: return
        val first = proposedVersion == 0L
        proposedVersion = view.version
        propose(CellCommand.Configure(if (first) view else view.diffAgainst(cell.rowsInForce())))
    }

    private fun holdOrRelease() {
        val mustHold = zoneLeaseExpiresAt <= host.now
        if (mustHold == (proposedHold ?: cell.state.held)) return
        proposedHold = mustHold
        propose(CellCommand.Hold(mustHold))
    }

    private fun expireWaiters() {
        val late = waiters.entries.filter { (_, callers) -> callers.values.any { it.deadline <= host.now } }
        late.forEach { (job, callers) ->
            val over = callers.filterValues { it.deadline <= host.now }
            over.values.forEach { host.respond(it.origin, lookup.describe(job)) }
            callers.keys.removeAll(over.keys)
            if (callers.isEmpty()) waiters.remove(job)
        }
    }

    val zoneLeaseLeftMillis: Long get() = if (zoneLeaseExpiresAt > host.now) zoneLeaseExpiresAt - host.now else 0
}
