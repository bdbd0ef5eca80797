package rhubarbknot.host

import rhubarbknot.core.cell.AttemptReport
import rhubarbknot.core.cell.AttemptState
import rhubarbknot.core.cell.ExecutorInfo
import rhubarbknot.core.cell.ExecutorKind
import rhubarbknot.core.model.AttemptId
import rhubarbknot.core.model.ExecutorId
import rhubarbknot.core.model.JobSpec
import rhubarbknot.core.model.RequestId
import rhubarbknot.core.model.Resources
import rhubarbknot.core.model.ZoneId
import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.HardState
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.Snapshot
import java.util.PriorityQueue
import java.util.SplittableRandom

/**
 * Hosts, executors and callers on one virtual clock, with a network that delays, drops and duplicates frames and can be
 * partitioned.
 */
class SimulatedCluster(
    perZone: Map<String, Int>,
    seed: Long = 1,
    private val configure: (HostConfig) -> HostConfig = { it },
) {
    val topology =
        Topology(
            perZone.flatMap { (zone, count) ->
                (1..count).map { HostInfo(HostId("$zone$it"), ZoneId(zone), apiAddress = "$zone$it") }
            },
        )
    private val random = SplittableRandom(seed)
    private val scheduled = PriorityQueue<ScheduledAction>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L
    var now = 1_000L
        private set
    val hosts = LinkedHashMap<HostId, EntryHost>()
    private val disks = HashMap<HostId, HashMap<GroupId, FakeDisk>>()
    private val down = HashSet<HostId>()
    private val epochs = HashMap<HostId, Int>()
    val answers = LinkedHashMap<RequestId, ApiResponse>()
    val executors = LinkedHashMap<String, FakeExecutor>()
    var isPartitioned: (HostId, HostId) -> Boolean = { _, _ -> false }
    var lossPercent = 0

    var duplicatePercent = 0

    /** Percentage of peer frames that are delayed by up to [MAX_EXTRA_DELAY_MILLIS]. */
    var delayPercent = 0
    private val paused = HashMap<HostId, ArrayList<HostEvent>>()

    /** Selects peer frames to drop, by receiver and frame. */
    var dropsFrame: (HostId, PeerFrame) -> Boolean = { _, _ -> false }
    private var nextConnection = 0L
    private val connections = HashMap<ConnectionId, FakeExecutor>()

    init {
        topology.hosts.forEach { startHost(it.id) }
    }

    private class ScheduledAction(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private fun schedule(
        delay: Long,
        action: () -> Unit,
    ) = scheduled.add(ScheduledAction(now + delay, sequence++, action))

    private fun startHost(id: HostId) {
        val disk = disks.getOrPut(id) { HashMap() }
        val config = configure(HostConfig(id, topology, seed = sequence + 1))
        hosts[id] = EntryHost(config, disk.mapValues { it.value.recover() }, now)
        down.remove(id)
        val epoch = epochs.merge(id, 1, Int::plus)!!
        tickLoop(id, epoch)
    }

    private fun tickLoop(
        id: HostId,
        epoch: Int,
    ) {
        schedule(TICK_MILLIS) {
            if (epochs[id] == epoch) {
                feed(id, HostEvent.Tick)
                tickLoop(id, epoch)
            }
        }
    }

    fun kill(id: HostId) {
        down.add(id)
        paused.remove(id)
        epochs.merge(id, 1, Int::plus)
        connections.entries
            .filter { it.value.host == id }
            .toList()
            .forEach { (connection, executor) -> drop(connection, executor) }
    }

    fun restart(id: HostId) = startHost(id)

    fun feed(
        id: HostId,
        event: HostEvent,
    ) {
        if (id in down) return
        val waiting = paused[id]
        if (waiting == null) {
            hosts.getValue(id).handle(event, now).forEach { execute(id, it) }
        } else if (event != HostEvent.Tick) {
            waiting.add(event)
        }
    }

    /** Suspends the process of [id]; events other than ticks are queued until [resume]. */
    fun pause(id: HostId) {
        paused.getOrPut(id) { ArrayList() }
    }

    /** Resumes [id]: queued events are delivered at the current time. */
    fun resume(id: HostId) {
        paused.remove(id)?.forEach { feed(id, it) }
    }

    fun isDown(id: HostId): Boolean = id in down

    private fun execute(
        from: HostId,
        effect: HostEffect,
    ) {
        when (effect) {
            is HostEffect.SendPeer -> sendPeer(from, effect)
            is HostEffect.Persist -> persist(from, effect)
            is HostEffect.Respond -> check(answers.put(effect.id, effect.response) == null) { "two answers to ${effect.id}" }
            is HostEffect.SendExecutor -> toExecutor(effect)
            is HostEffect.CloseExecutor -> connections[effect.connection]?.let { schedule(1) { drop(effect.connection, it) } }
            HostEffect.ShutdownComplete -> Unit
        }
    }

    private fun sendPeer(
        from: HostId,
        effect: HostEffect.SendPeer,
    ) {
        if (isPartitioned(from, effect.to) || dropsFrame(effect.to, effect.frame) || random.nextInt(100) < lossPercent) return
        repeat(if (random.nextInt(100) < duplicatePercent) 2 else 1) {
            val extraDelay = if (random.nextInt(100) < delayPercent) random.nextLong(MAX_EXTRA_DELAY_MILLIS) else 0
            schedule(1 + random.nextLong(3) + extraDelay) {
                if (!isPartitioned(from, effect.to)) feed(effect.to, HostEvent.PeerReceived(from, effect.frame))
            }
        }
    }

    private fun persist(
        id: HostId,
        effect: HostEffect.Persist,
    ) {
        val epoch = epochs[id]
        val disk = disks.getValue(id).getOrPut(effect.group) { FakeDisk() }
        schedule(1) {
            if (epochs[id] == epoch) {
                disk.write(effect.batch)
                feed(id, HostEvent.Persisted(effect.group, effect.batch.sequence))
            }
        }
    }

    private fun toExecutor(effect: HostEffect.SendExecutor) {
        val executor = connections[effect.connection] ?: return
        schedule(1) { if (executor.connection == effect.connection && !executor.cutOff) executor.received(effect.frame) }
    }

    private fun drop(
        connection: ConnectionId,
        executor: FakeExecutor,
    ) {
        connections.remove(connection)
        if (executor.connection == connection) executor.closed()
    }

    fun sendRequest(
        at: HostId,
        id: String,
        request: ApiRequest,
    ): RequestId = RequestId(id).also { feed(at, HostEvent.RequestReceived(it, request)) }

    fun run(millis: Long) {
        val until = now + millis
        while (scheduled.isNotEmpty() && scheduled.peek().at <= until) {
            val due = scheduled.poll()
            now = maxOf(now, due.at)
            due.action()
        }
        now = until
    }

    fun awaitAnswer(
        id: RequestId,
        within: Long = 10_000,
    ): ApiResponse {
        val until = now + within
        while (id !in answers && now < until) run(20)
        return answers[id] ?: error("no answer to $id")
    }

    fun leader(group: GroupId): EntryHost? =
        hosts.entries.firstOrNull { (id, host) -> id !in down && host.health().groups.any { it.group == group && it.leads } }?.value

    fun executor(
        zone: String,
        name: String,
        capacity: Resources,
        behaviour: (JobSpec) -> AttemptReport? = { null },
    ): FakeExecutor {
        val kind = if (capacity.slots > 0) ExecutorKind.ENDPOINT else ExecutorKind.WORKER
        val fake = FakeExecutor(ExecutorInfo(ExecutorId(name), "$name-1", kind, capacity), ZoneId(zone), behaviour)
        executors[name] = fake
        fake.dial()
        fake.loop()
        return fake
    }

    /** A worker or endpoint whose tasks run for their expected duration and return their payload. */
    inner class FakeExecutor(
        val info: ExecutorInfo,
        private val zone: ZoneId,
        private val behaviour: (JobSpec) -> AttemptReport?,
    ) {
        val agent = ExecutorAgent(info)
        val runs = ArrayList<AttemptId>()
        val active = HashSet<AttemptId>()
        var host: HostId? = null
        var connection: ConnectionId? = null
        var cutOff = false

        fun dial() {
            val target = topology.hostsOf(zone).map { it.id }.filter { it !in down }
            if (target.isEmpty()) {
                schedule(100) { if (connection == null) dial() }
            } else {
                connect(target[random.nextInt(target.size)])
            }
        }

        private fun connect(to: HostId) {
            val next = ConnectionId(nextConnection++)
            connection = next
            host = to
            connections[next] = this
            perform(agent.connected(now))
        }

        fun closed() {
            connection = null
            perform(agent.disconnected(now))
            schedule(100) { if (connection == null) dial() }
        }

        fun received(frame: ToExecutor) = perform(agent.received(frame, now))

        fun loop() {
            schedule(100) {
                perform(agent.tick(now))
                loop()
            }
        }

        private fun perform(effects: List<AgentEffect>) = effects.forEach { perform(it) }

        private fun perform(effect: AgentEffect) {
            when (effect) {
                is AgentEffect.Send -> send(effect.frame)
                is AgentEffect.Run -> runTask(effect)
                is AgentEffect.Stop ->
                    finish(
                        effect.attempt,
                        if (effect.mode.name ==
                            "KILL"
                        ) {
                            AttemptState.KILLED
                        } else {
                            AttemptState.CHECKPOINTED
                        },
                    )
                is AgentEffect.Terminate -> active.remove(effect.attempt)
                is AgentEffect.Reconnect -> {
                    val to =
                        effect.addresses
                            .firstOrNull()
                            ?.let { HostId(it) }
                            ?.takeIf { it !in down }
                    connection = null
                    schedule(50) { if (connection == null) to?.let { connect(it) } ?: dial() }
                }
            }
        }

        private fun send(frame: FromExecutor) {
            val at = connection ?: return
            val to = host ?: return
            schedule(1) { if (connection == at && !cutOff) feed(to, HostEvent.ExecutorFrameReceived(at, frame)) }
        }

        private fun runTask(run: AgentEffect.Run) {
            runs.add(run.attempt)
            active.add(run.attempt)
            if (run.spec.kind.name == "SERVICE") return
            val report = behaviour(run.spec)
            schedule(maxOf(1, run.spec.expectedRunMillis)) {
                if (run.attempt in active) finish(run.attempt, report?.state ?: AttemptState.COMPLETED, report?.text ?: run.spec.payload)
            }
        }

        private fun finish(
            attempt: AttemptId,
            state: AttemptState,
            text: String = "",
        ) {
            active.remove(attempt)
            perform(agent.ended(AttemptReport(attempt, state, text), now))
        }
    }

    private companion object {
        const val TICK_MILLIS = 20L
        const val MAX_EXTRA_DELAY_MILLIS = 2_000L
    }
}

/** An in-memory disk that retains synced batches across restarts. */
class FakeDisk {
    private var hard = HardState()
    private var snapshot: Snapshot? = null
    private val entries = ArrayList<LogEntry>()

    fun write(batch: ReplicaEffect.Persist) {
        batch.hardState?.let { hard = it }
        batch.truncateAfter?.let { index -> entries.removeIf { it.index > index } }
        batch.snapshot?.let { saved ->
            snapshot = saved
            entries.removeIf { it.index <= saved.index }
        }
        entries.addAll(batch.entries)
    }

    fun recover() = DurableState(hard, snapshot, entries.toList())
}
