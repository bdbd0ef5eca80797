package rhubarbknot.host

import rhubarbknot.core.cell.Cell
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.Registry
import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.ReplicaEvent

/**
 * A whole entry host as one state machine: its replicas, the cell of its zone, leases, executors and requests.
 *
 * Events and the time go in, effects come out; there is no clock, socket or thread inside. A daemon is a thin driver
 * around it, and a test or another program can drive hundreds of hosts under a clock and a network of its own.
 */
class EntryHost(
    val config: HostConfig,
    durable: Map<GroupId, DurableState>,
    nowMillis: Long,
) {
    private val effects = ArrayList<HostEffect>()
    private var now = nowMillis
    private val context = Context()
    private val zone = checkNotNull(config.topology.host(config.self)) { "${config.self} is not among the hosts" }.zone
    private val registryDesk = RegistryCoordinator(context)
    private val cellDesk = CellCoordinator(context, zone, registryDesk.registry)
    private val router = Router(context, registryDesk.registry, zone, ::deliver)
    private val refusals = RefusalLog(config.self) { router.ask(RequestId(it.id), ApiRequest.Record(it)) }
    private val groups = LinkedHashMap<GroupId, Group>()
    private var shutdownBy = Long.MAX_VALUE
    private var drainedSaid = false

    init {
        config.topology.groupsOf(config.self).forEach { (id, members) ->
            groups[id] = Group(id, config, members, durable[id] ?: DurableState(), machineOf(id), effects, nowMillis)
        }
    }

    private fun machineOf(id: GroupId): ReplicatedStateMachine =
        when (id) {
            GroupId.REGISTRY -> registryDesk
            GroupId.cell(zone) -> cellDesk
            else -> WitnessStateMachine()
        }

    val registry: Registry get() = registryDesk.registry
    val cell: Cell get() = cellDesk.cell
    val isShuttingDown: Boolean get() = shutdownBy != Long.MAX_VALUE

    /** Handles [events] together at [nowMillis]; what they propose shares log entries. */
    fun handle(
        events: List<HostEvent>,
        nowMillis: Long,
    ): List<HostEffect> {
        now = maxOf(now, nowMillis)
        events.forEach { dispatch(it) }
        flush()
        if (effects.isEmpty()) return emptyList()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    fun handle(
        event: HostEvent,
        nowMillis: Long,
    ): List<HostEffect> = handle(listOf(event), nowMillis)

    // A group of one commits while it proposes, which can lead to further proposals.
    private fun flush() {
        repeat(MAX_FLUSHES) {
            registryDesk.flush()
            cellDesk.takeUpConfiguration()
            cellDesk.flush()
        }
    }

    private fun dispatch(event: HostEvent) {
        when (event) {
            HostEvent.Tick -> tick()
            is HostEvent.PeerReceived -> received(event.from, event.frame)
            is HostEvent.Persisted -> groups[event.group]?.handle(ReplicaEvent.Persisted(event.sequence), now)
            is HostEvent.PersistFailed -> groups[event.group]?.handle(ReplicaEvent.PersistFailed(event.reason), now)
            is HostEvent.RequestReceived -> router.ask(event.id, event.request)
            is HostEvent.ExecutorFrameReceived -> cellDesk.executors.said(event.connection, event.frame)
            is HostEvent.ExecutorDisconnected -> cellDesk.executors.closed(event.connection)
            is HostEvent.Refused -> refusals.note(event, now)
            HostEvent.Shutdown -> beginShutdown()
        }
    }

    private fun tick() {
        groups.values.forEach { it.handle(ReplicaEvent.Tick, now) }
        registryDesk.tick()
        cellDesk.tick()
        refusals.tick(now)
        router.tick()
        if (isShuttingDown) advanceShutdown()
    }

    private fun received(
        from: HostId,
        frame: PeerFrame,
    ) {
        when (frame) {
            is PeerFrame.Replica -> groups[frame.group]?.handle(ReplicaEvent.Received(from.replica, frame.message), now)
            is PeerFrame.Forward -> router.forwarded(frame)
            is PeerFrame.ForwardReply -> router.answered(frame.id, frame.response)
            is PeerFrame.LeaseRenewal -> registryDesk.renew(from, frame)
            is PeerFrame.LeaseGrant -> cellDesk.leaseGranted(frame)
            is PeerFrame.Leading -> router.leading(from, frame)
            is PeerFrame.MoveOffer -> moveOffered(frame)
            is PeerFrame.MoveAccepted -> moveAccepted(frame)
        }
    }

    private fun moveOffered(frame: PeerFrame.MoveOffer) {
        if (leads(frame.to)) {
            cellDesk.moveOffered(frame)
        } else if (frame.hops < MAX_HOPS) {
            passOn(frame.to, frame.copy(hops = frame.hops + 1))
        }
    }

    private fun moveAccepted(frame: PeerFrame.MoveAccepted) {
        if (leads(frame.from)) {
            cellDesk.moveAccepted(frame)
        } else if (frame.hops < MAX_HOPS) {
            passOn(frame.from, frame.copy(hops = frame.hops + 1))
        }
    }

    private fun leads(other: ZoneId): Boolean = other == zone && groups.getValue(GroupId.cell(zone)).isLeader

    private fun passOn(
        to: ZoneId,
        frame: PeerFrame,
    ) {
        router.leaderOf(GroupId.cell(to))?.takeIf { it != config.self }?.let { context.send(it, frame) }
    }

    private fun deliver(
        origin: RequestOrigin,
        group: GroupId,
        request: ApiRequest,
    ) {
        if (group == GroupId.REGISTRY) registryDesk.ask(origin, request) else cellDesk.ask(origin, request)
    }

    // Shutdown

    private fun beginShutdown() {
        if (isShuttingDown) return
        shutdownBy = now + config.shutdownMillis
        advanceShutdown()
    }

    private fun advanceShutdown() {
        val leading = groups.values.filter { it.isLeader && it.members.voters.size > 1 }
        leading.forEach { it.handle(ReplicaEvent.TransferLeadership(), now) }
        val done = leading.isEmpty() && router.isIdle && registryDesk.isIdle
        if ((done || now >= shutdownBy) && !drainedSaid) {
            drainedSaid = true
            effects += HostEffect.ShutdownComplete
        }
    }

    /** The state of this host for health pages. */
    fun health(): HostHealth =
        HostHealth(
            host = config.self,
            zone = zone,
            groups =
                groups.values.map { group ->
                    GroupHealth(
                        group.id,
                        group.leader,
                        group.term,
                        group.commitIndex,
                        group.isLeader,
                        group.haltReason,
                    )
                },
            zoneLeaseLeftMillis = cellDesk.zoneLeaseLeftMillis,
            registryVersion = registry.version,
        )

    /** What the parts use of this host. */
    private inner class Context : HostContext {
        override val config: HostConfig get() = this@EntryHost.config
        override val now: Long get() = this@EntryHost.now

        override fun group(id: GroupId): Group = groups.getValue(id)

        override fun groupOrNull(id: GroupId): Group? = groups[id]

        override fun send(
            to: HostId,
            frame: PeerFrame,
        ) {
            if (to == config.self) received(to, frame) else effects += HostEffect.SendPeer(to, frame)
        }

        override fun broadcast(frame: PeerFrame) = config.topology.hosts.forEach { send(it.id, frame) }

        override fun sendToZone(
            zone: ZoneId,
            frame: PeerFrame,
        ) {
            val leader = router.leaderOf(GroupId.cell(zone))
            val to =
                leader ?: config.topology
                    .hostsOf(zone)
                    .getOrNull((now / 100 % maxOf(1, config.topology.hostsOf(zone).size)).toInt())
                    ?.id
            to?.let { send(it, frame) }
        }

        override fun respond(
            origin: RequestOrigin,
            response: ApiResponse,
        ) {
            if (origin.host == config.self) {
                router.answered(origin.id, response)
            } else {
                send(origin.host, PeerFrame.ForwardReply(origin.id, response))
            }
        }

        override fun emit(effect: HostEffect) {
            effects += effect
        }
    }

    private companion object {
        const val MAX_FLUSHES = 2
        const val MAX_HOPS = 2
    }
}
