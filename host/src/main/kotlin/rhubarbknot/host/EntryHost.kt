package rhubarbknot.host

import rhubarbknot.core.cell.Cell
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.ZoneId
import rhubarbknot.core.registry.Registry
import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.ReplicaEvent

/**
 * An entry host as one deterministic state machine: its replicas, the cell of its zone, leases, executors and requests.
 *
 * It takes events and the current time and returns effects; it has no clock, sockets or threads. The daemon is a thin
 * driver around it, and a test or another program can drive hundreds of hosts with a simulated clock and network.
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
    private val registryCoordinator = RegistryCoordinator(context)
    private val cellCoordinator = CellCoordinator(context, zone, registryCoordinator.registry)
    private val router = Router(context, registryCoordinator.registry, zone, ::deliver)
    private val refusalLog = RefusalLog(config.self) { router.route(RequestId(it.id), ApiRequest.Record(it)) }
    private val groups = LinkedHashMap<GroupId, Group>()
    private var shutdownDeadline = Long.MAX_VALUE
    private var shutdownReported = false

    init {
        config.topology.groupsOf(config.self).forEach { (id, members) ->
            groups[id] = Group(id, config, members, durable[id] ?: DurableState(), stateMachineFor(id), effects, nowMillis)
        }
    }

    private fun stateMachineFor(id: GroupId): ReplicatedStateMachine =
        when (id) {
            GroupId.REGISTRY -> registryCoordinator
            GroupId.cell(zone) -> cellCoordinator
            else -> WitnessStateMachine()
        }

    val registry: Registry get() = registryCoordinator.registry
    val cell: Cell get() = cellCoordinator.cell
    val isShuttingDown: Boolean get() = shutdownDeadline != Long.MAX_VALUE

    /** Handles [events] as one batch at [nowMillis]; their proposals share log entries. */
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

    // A single-voter group commits during the proposal itself, which can lead to further proposals.
    private fun flush() {
        repeat(MAX_FLUSHES) {
            registryCoordinator.flush()
            cellCoordinator.proposeConfiguration()
            cellCoordinator.flush()
        }
    }

    private fun dispatch(event: HostEvent) {
        when (event) {
            HostEvent.Tick -> tick()
            is HostEvent.PeerReceived -> received(event.from, event.frame)
            is HostEvent.Persisted -> groups[event.group]?.handle(ReplicaEvent.Persisted(event.sequence), now)
            is HostEvent.PersistFailed -> groups[event.group]?.handle(ReplicaEvent.PersistFailed(event.reason), now)
            is HostEvent.RequestReceived -> router.route(event.id, event.request)
            is HostEvent.ExecutorFrameReceived -> cellCoordinator.executors.frameReceived(event.connection, event.frame)
            is HostEvent.ExecutorDisconnected -> cellCoordinator.executors.disconnected(event.connection)
            is HostEvent.Refused -> refusalLog.note(event, now)
            HostEvent.Shutdown -> beginShutdown()
        }
    }

    private fun tick() {
        groups.values.forEach { it.handle(ReplicaEvent.Tick, now) }
        registryCoordinator.tick()
        cellCoordinator.tick()
        refusalLog.tick(now)
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
            is PeerFrame.LeaseRenewal -> registryCoordinator.renew(from, frame)
            is PeerFrame.LeaseGrant -> cellCoordinator.leaseGranted(frame)
            is PeerFrame.Leading -> router.leading(from, frame)
            is PeerFrame.MoveOffer -> moveOffered(frame)
            is PeerFrame.MoveAccepted -> moveAccepted(frame)
        }
    }

    private fun moveOffered(frame: PeerFrame.MoveOffer) {
        if (leads(frame.to)) {
            cellCoordinator.moveOffered(frame)
        } else if (frame.hops < MAX_HOPS) {
            forwardToZone(frame.to, frame.copy(hops = frame.hops + 1))
        }
    }

    private fun moveAccepted(frame: PeerFrame.MoveAccepted) {
        if (leads(frame.from)) {
            cellCoordinator.moveAccepted(frame)
        } else if (frame.hops < MAX_HOPS) {
            forwardToZone(frame.from, frame.copy(hops = frame.hops + 1))
        }
    }

    private fun leads(other: ZoneId): Boolean = other == zone && groups.getValue(GroupId.cell(zone)).isLeader

    private fun forwardToZone(
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
        if (group == GroupId.REGISTRY) registryCoordinator.process(origin, request) else cellCoordinator.process(origin, request)
    }

    // Shutdown

    private fun beginShutdown() {
        if (isShuttingDown) return
        shutdownDeadline = now + config.shutdownMillis
        advanceShutdown()
    }

    private fun advanceShutdown() {
        val leading = groups.values.filter { it.isLeader && it.members.voters.size > 1 }
        leading.forEach { it.handle(ReplicaEvent.TransferLeadership(), now) }
        val done = leading.isEmpty() && router.isIdle && registryCoordinator.isIdle
        if ((done || now >= shutdownDeadline) && !shutdownReported) {
            shutdownReported = true
            effects += HostEffect.ShutdownComplete
        }
    }

    /** Health of this host, for the health endpoint and for tests. */
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
            zoneLeaseLeftMillis = cellCoordinator.zoneLeaseLeftMillis,
            registryVersion = registry.version,
        )

    /** The [HostContext] that this host passes to its components. */
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
