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

/** The cell of the host's own zone: the replicated state, and what its leader does besides. */
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
    private val lookups = JobLookup(host, zone, cell, registry)
    val executors = ExecutorSessionManager(host, groupId, cell, ::propose) { zoneLeaseUntil > host.now }

    /** Until when this host may act for the zone, by its own clock. */
    private var zoneLeaseUntil = Long.MIN_VALUE
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
        effects.forEach { carryOut(it) }
        batch.commands.forEach { if (it is CellCommand.Join) executors.joined(it.info.id) }
        // The registry hears at once that a change is in force here, not only at the next renewal.
        if (batch.commands.any { it is CellCommand.Configure }) renewLease()
    }

    override fun snapshot(): ByteArray = cell.snapshot()

    override fun restore(state: ByteArray) {
        if (state.isNotEmpty()) cell.restore(state)
    }

    override fun roleChanged(role: Role) {
        zoneLeaseUntil = Long.MIN_VALUE
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
        val asking = origins.values + waiters.values.flatMap { it.values }
        origins.clear()
        waiters.clear()
        asking.forEach { host.respond(it.origin, ApiResponse.Retry()) }
        executors.end()
    }

    private fun propose(command: CellCommand) {
        commands += command
    }

    /** Proposes everything that came together since the last call as one entry. */
    fun flush() {
        if (commands.isEmpty()) return
        val batch = CellBatch(maxOf(cell.state.now, host.now + clockOffset), commands.toList())
        commands.clear()
        if (group.isLeader) group.handle(ReplicaEvent.Propose(listOf(Codec.encode(CellBatch.serializer(), batch))), host.now)
    }

    // Requests

    /** Takes a request for this zone. */
    fun ask(
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
            is ApiRequest.ReadZone -> if (group.holdsLease(host.now)) host.respond(origin, lookups.zone(group)) else retry(origin)
            else -> host.respond(origin, ApiResponse.Refused(RefusalReason.BAD_REQUEST, "not a request for a zone"))
        }
    }

    private fun retry(origin: RequestOrigin) = host.respond(origin, ApiResponse.Retry())

    private fun submit(
        origin: RequestOrigin,
        request: ApiRequest.Submit,
    ) {
        if (origin.id in origins) return
        val asker = PendingCaller(origin, host.now + request.waitMillis)
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
            known != null && group.holdsLease(host.now) -> resend(asker, known, request)
            zoneLeaseUntil <= host.now -> cutOff(origin, job)
            else -> {
                origins[origin.id] = asker
                propose(CellCommand.Submit(origin.id, job, request.queue, request.spec, request.fingerprint))
            }
        }
    }

    /** Asks again about a job that is known; that takes no new work, so it needs no lease of the zone. */
    private fun resend(
        asker: PendingCaller,
        known: Job,
        request: ApiRequest.Submit,
    ) {
        if (known.fingerprint != request.fingerprint) {
            val detail = "id ${request.localId} was used for another request"
            host.respond(asker.origin, ApiResponse.Refused(RefusalReason.ID_REUSED, detail))
        } else {
            answerOrWait(known.id, asker)
        }
    }

    private fun answerOrWait(
        id: JobId,
        asker: PendingCaller,
    ) {
        val answer = lookups.describe(id)
        val open = answer is ApiResponse.Job && answer.status.outcome == null
        if (open && asker.deadline > host.now) wait(id, asker) else host.respond(asker.origin, answer)
    }

    private fun cutOff(
        origin: RequestOrigin,
        job: JobId,
    ) {
        // A resend of a job that is known must not hear that it did not run.
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
        val refused = lookups.refusal(request)
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
        asker: PendingCaller,
    ) {
        waiters.getOrPut(job) { LinkedHashMap() }.putIfAbsent(asker.origin.id, asker)
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

    private fun carryOut(effect: CellEffect) {
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
            is CellEffect.Finished -> waiters.remove(effect.job)?.values?.forEach { host.respond(it.origin, lookups.describe(effect.job)) }
            is CellEffect.MoveOut -> host.sendToZone(effect.zone, PeerFrame.MoveOffer(effect.transfer, zone, effect.zone))
            is CellEffect.Adopted -> host.sendToZone(effect.from, PeerFrame.MoveAccepted(effect.job, zone, effect.from, effect.up))
        }
    }

    private fun accepted(effect: CellEffect.Accepted) {
        val asker = origins.remove(effect.request) ?: return
        answerOrWait(effect.job, asker)
    }

    fun moveOffered(frame: PeerFrame.MoveOffer) {
        if (zoneLeaseUntil > host.now) propose(CellCommand.Adopt(frame.transfer, frame.from))
    }

    fun moveAccepted(frame: PeerFrame.MoveAccepted) = propose(CellCommand.Moved(frame.job, frame.zone, frame.up))

    // Lease and time

    fun leaseGranted(grant: PeerFrame.LeaseGrant) {
        if (group.isLeader) zoneLeaseUntil = maxOf(zoneLeaseUntil, grant.sentAtMillis + grant.leaseMillis)
    }

    private fun renewLease() {
        val registryLeader = host.group(GroupId.REGISTRY).leader ?: return
        // Keys are checked against this host's registry, rows against the cell's state: the older one counts.
        val version = minOf(cell.state.configVersion, registry.version)
        val renewal = PeerFrame.LeaseRenewal(zone, host.now, version, cell.loads(), cell.offer(zone))
        nextRenewal = host.now + host.config.zoneRenewMillis
        host.send(registryLeader, renewal)
    }

    fun tick() {
        if (!group.isLeader) return
        if (host.now >= nextRenewal) renewLease()
        takeUpConfiguration()
        holdOrRelease()
        executors.tick()
        expireWaiters()
        if (host.now >= nextTick && cell.nextWakeMillis() != null) {
            nextTick = host.now + maxOf(host.config.cellTickMillis, checkNotNull(cell.nextWakeMillis()))
            propose(CellCommand.Tick)
        }
    }

    /**
     * Brings the registry's newest state into the cell: whole at first in a term, since entries of an earlier leader
     * may still be on their way, then as differences, one at a time.
     */
    fun takeUpConfiguration() {
        if (!group.isLeader || registry.version <= cell.state.configVersion || cell.state.configVersion < proposedVersion) return
        val view = ZoneView.of(registry.state, zone) ?: return
        val first = proposedVersion == 0L
        proposedVersion = view.version
        propose(CellCommand.Configure(if (first) view else view.diffAgainst(cell.rowsInForce())))
    }

    private fun holdOrRelease() {
        val mustHold = zoneLeaseUntil <= host.now
        if (mustHold == (proposedHold ?: cell.state.held)) return
        proposedHold = mustHold
        propose(CellCommand.Hold(mustHold))
    }

    private fun expireWaiters() {
        val late = waiters.entries.filter { (_, askers) -> askers.values.any { it.deadline <= host.now } }
        late.forEach { (job, askers) ->
            val over = askers.filterValues { it.deadline <= host.now }
            over.values.forEach { host.respond(it.origin, lookups.describe(job)) }
            askers.keys.removeAll(over.keys)
            if (askers.isEmpty()) waiters.remove(job)
        }
    }

    val zoneLeaseLeftMillis: Long get() = if (zoneLeaseUntil > host.now) zoneLeaseUntil - host.now else 0
}
