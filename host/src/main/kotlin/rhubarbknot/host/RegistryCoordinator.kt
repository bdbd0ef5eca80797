package rhubarbknot.host

import kotlinx.serialization.Serializable
import rhubarbknot.core.model.Codec
import rhubarbknot.core.model.RefusalReason
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.registry.ChangeId
import rhubarbknot.core.registry.ChangeResult
import rhubarbknot.core.registry.Edit
import rhubarbknot.core.registry.GrantPlanner
import rhubarbknot.core.registry.Registry
import rhubarbknot.core.registry.RegistryCommand
import rhubarbknot.core.registry.RegistryState
import rhubarbknot.core.registry.ZoneDemand
import rhubarbknot.core.registry.ZoneView
import rhubarbknot.quorum.ReplicaEvent
import rhubarbknot.quorum.Role

/** An entry of the registry's replicated log: a command and the request that caused it, if any. */
@Serializable
internal data class RegistryEntry(
    val request: RequestId?,
    val command: RegistryCommand,
)

/** The registry's replicated state on one host, plus the leader's duties: requests, zone leases and rebalancing of grants. */
internal class RegistryCoordinator(
    private val host: HostContext,
) : ReplicatedStateMachine {
    val registry = Registry()
    private val leases = ZoneLeases(host.config)
    private val waiters = ArrayList<ChangeWaiter>()
    private val origins = HashMap<RequestId, RequestOrigin>()
    private val proposals = ArrayList<ByteArray>()
    private var nextRebalance = 0L
    private val group get() = host.group(GroupId.REGISTRY)

    override fun apply(
        payload: ByteArray,
        ours: Boolean,
    ) {
        val entry = Codec.decode(RegistryEntry.serializer(), payload)
        val result = registry.reduce(entry.command)
        val origin = entry.request?.let { origins.remove(it) }
        if (!ours || origin == null) return
        if (result is ChangeResult.Committed) {
            waiters += ChangeWaiter(origin, result, host.now)
        } else {
            host.respond(origin, ApiResponse.Changed(result, inForce = false))
        }
    }

    override fun snapshot(): ByteArray = registry.snapshot()

    override fun restore(state: ByteArray) {
        if (state.isEmpty()) registry.restore(Codec.encode(RegistryState.serializer(), RegistryState())) else registry.restore(state)
    }

    override fun roleChanged(role: Role) {
        val retry = ApiResponse.Retry()
        if (role == Role.LEADER) {
            leases.begin(host.now)
            nextRebalance = host.now
            host.broadcast(PeerFrame.Leading(GroupId.REGISTRY, group.term))
            return
        }
        (origins.values + waiters.map { it.origin }).forEach { host.respond(it, retry) }
        origins.clear()
        waiters.clear()
        proposals.clear()
    }

    /** Handles a request addressed to the registry. */
    fun process(
        origin: RequestOrigin,
        request: ApiRequest,
    ) {
        if (!group.isLeader) {
            host.respond(origin, ApiResponse.Retry(group.leader))
            return
        }
        when (request) {
            is ApiRequest.Change -> change(origin, request)
            is ApiRequest.Record -> record(origin, request)
            is ApiRequest.ReadRegistry -> if (group.holdsLease(host.now)) host.respond(origin, read()) else retry(origin)
            is ApiRequest.ReadAudit ->
                host.respond(
                    origin,
                    ApiResponse.Audit(
                        registry.state.audit
                            .toList()
                            .takeLast(request.last),
                    ),
                )
            else -> host.respond(origin, ApiResponse.Refused(RefusalReason.BAD_REQUEST, "not a request for the registry"))
        }
    }

    private fun retry(origin: RequestOrigin) = host.respond(origin, ApiResponse.Retry())

    private fun change(
        origin: RequestOrigin,
        request: ApiRequest.Change,
    ) {
        if (origin.id in origins || waiters.any { it.origin == origin }) return
        origins[origin.id] = origin.copy(deadline = host.now + request.waitMillis)
        propose(RegistryEntry(origin.id, request.change))
    }

    private fun record(
        origin: RequestOrigin,
        request: ApiRequest.Record,
    ) {
        if (origin.id in origins) return
        origins[origin.id] = origin
        propose(RegistryEntry(origin.id, request.refusal))
    }

    private fun read(): ApiResponse {
        val state = registry.state
        val keys = state.keys.values.map { KeySummary(it.keyId, it.team, it.withdrawn) }
        return ApiResponse.Registry(
            state.version,
            state.rows.values.toList(),
            state.zones.values.toList(),
            keys,
            leases.summaries(host.now),
            host.config.self,
        )
    }

    /** Handles a cell leader's renewal of its zone lease. */
    fun renew(
        from: HostId,
        renewal: PeerFrame.LeaseRenewal,
    ) {
        if (!group.isLeader || !group.holdsLease(host.now)) return
        val oldest = waiters.minByOrNull { it.result.version }?.let { PendingVersion(it.result.version, it.since) }
        if (leases.renew(from, renewal, registry.version, oldest, host.now)) {
            host.send(from, PeerFrame.LeaseGrant(renewal.zone, renewal.sentAtMillis, host.config.zoneLeaseMillis))
        }
        returnGrants(renewal)
        val known = registry.state.offers[renewal.zone]
        if (known != renewal.offer &&
            renewal.zone in registry.state.zones
        ) {
            propose(RegistryEntry(null, RegistryCommand.Offer(renewal.offer)))
        }
        completeWaiters()
    }

    private fun returnGrants(renewal: PeerFrame.LeaseRenewal) {
        val held = renewal.loads.associate { it.team to it.held }
        ZoneView.teamsWithReturnableGrants(registry.state, renewal.zone).forEach { team ->
            val command = RegistryCommand.ReturnGrant(team, renewal.zone, held[team] ?: 0, renewal.version)
            val grant =
                registry.state.grants
                    .getValue(team)
                    .getValue(renewal.zone)
            if (command.held < grant.granted && renewal.version >= grant.version) propose(RegistryEntry(null, command))
        }
    }

    fun tick() {
        if (!group.isLeader) return
        addZones()
        if (host.now >= nextRebalance) {
            nextRebalance = host.now + host.config.rebalanceMillis
            rebalance()
        }
        completeWaiters()
        leases.dropExpired(host.now)
    }

    private fun addZones() {
        if (!group.holdsLease(host.now)) return
        val missing =
            host.config.topology.zones
                .filter { it !in registry.state.zones }
        if (missing.isEmpty() || proposals.isNotEmpty() || zonesProposedInTerm == group.term) return
        zonesProposedInTerm = group.term
        missing.forEach { zone ->
            val change = RegistryCommand.Change(ChangeId("add-zone-$zone"), "rhubarbknot", registry.version, 0, Edit.AddZone(zone))
            propose(RegistryEntry(null, change))
        }
    }

    private var zonesProposedInTerm = 0L

    private fun rebalance() {
        val loads = leases.loads(host.now)
        val moves =
            registry.state.rows.values.flatMap { (row, _) ->
                val demands =
                    loads.map { (zone, list) ->
                        val load = list.firstOrNull { it.team == row.team }
                        ZoneDemand(zone, load?.held ?: 0, load?.demand ?: 0)
                    }
                GrantPlanner.rebalance(
                    row.team,
                    row.ceiling,
                    registry.state.grants[row.team]
                        .orEmpty(),
                    demands,
                )
            }
        if (moves.isNotEmpty()) propose(RegistryEntry(null, RegistryCommand.Rebalance(moves)))
    }

    private fun completeWaiters() {
        val done = waiters.filter { leases.isInForce(it.result.version, host.now) || host.now >= it.origin.deadline }
        done.forEach { answer(it) }
        waiters.removeAll(done.toSet())
    }

    private fun answer(waiter: ChangeWaiter) {
        val inForce = leases.isInForce(waiter.result.version, host.now)
        if (inForce) leases.markReportedInForce(waiter.result.version)
        host.respond(waiter.origin, ApiResponse.Changed(waiter.result, inForce))
    }

    private fun propose(entry: RegistryEntry) {
        proposals += Codec.encode(RegistryEntry.serializer(), entry)
    }

    fun flush() {
        if (proposals.isEmpty()) return
        val batch = ReplicaEvent.Propose(proposals.toList())
        proposals.clear()
        group.handle(batch, host.now)
    }

    val isIdle: Boolean get() = origins.isEmpty() && waiters.isEmpty()

    private class ChangeWaiter(
        val origin: RequestOrigin,
        val result: ChangeResult.Committed,
        val since: Long,
    )
}
