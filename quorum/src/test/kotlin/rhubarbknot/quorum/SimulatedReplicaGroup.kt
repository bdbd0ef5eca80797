package rhubarbknot.quorum

import java.util.SplittableRandom

/** A simulated disk that keeps synced batches and loses the others when the process crashes. */
class FakeDisk {
    private val written = ArrayList<ReplicaEffect.Persist>()
    private val pending = ArrayDeque<ReplicaEffect.Persist>()

    val hasPending: Boolean get() = pending.isNotEmpty()

    fun queue(batch: ReplicaEffect.Persist) {
        pending.addLast(batch)
    }

    /** Syncs the oldest pending batch and returns its sequence number. */
    fun syncOne(): Long {
        val batch = pending.removeFirst()
        written += batch
        return batch.sequence
    }

    /** Simulates a process crash in which the first [survivingBatches] of the unsynced batches still reach the disk. */
    fun crash(survivingBatches: Int) {
        repeat(minOf(survivingBatches, pending.size)) { written += pending.removeFirst() }
        pending.clear()
    }

    fun recover(): DurableState {
        var hard = HardState()
        var snapshot: Snapshot? = null
        val entries = ArrayList<LogEntry>()
        written.forEach { batch ->
            batch.hardState?.let { hard = it }
            batch.truncateAfter?.let { after -> entries.removeIf { it.index > after } }
            batch.snapshot?.let { saved ->
                snapshot = saved
                entries.removeIf { it.index <= saved.index }
            }
            batch.entries.forEach { if (it.index > (snapshot?.index ?: 0)) entries.add(it) }
        }
        return DurableState(hard, snapshot, entries)
    }
}

/** The application state: the list of applied payloads. */
class FakeStateMachine {
    val applied = ArrayList<String>()
    var lastIndex = 0L

    fun state(): ByteArray = applied.joinToString(",").toByteArray()

    fun restore(snapshot: Snapshot) {
        applied.clear()
        val text = String(snapshot.state)
        if (text.isNotEmpty()) applied.addAll(text.split(','))
        lastIndex = snapshot.index
    }
}

/** A message that was sent and not yet delivered. */
private class InFlightMessage(
    val from: ReplicaId,
    val to: ReplicaId,
    val message: ReplicaMessage,
)

/**
 * Simulates a replica group under faults: a network that drops, duplicates and reorders messages and loses links, disks
 * that lose unsynced data, paused processes and crashes. The test oracle records the acknowledged payloads, the leader
 * of each term and the committed entry at each index.
 */
class SimulatedReplicaGroup(
    size: Int,
    seed: Long,
    witnesses: Int = 0,
) {
    private val random = SplittableRandom(seed)
    private val ids = (1..size).map { ReplicaId("r$it") }
    private val spare = ReplicaId("spare")
    private val bootstrap = Members(ids.toSet(), ids.takeLast(witnesses).toSet())
    private val disks = (ids + spare).associateWith { FakeDisk() }
    private val stateMachines = HashMap<ReplicaId, FakeStateMachine>()
    private val replicas = HashMap<ReplicaId, Replica>()
    private val clocks = HashMap<ReplicaId, Long>()
    private val undelivered = ArrayList<InFlightMessage>()
    private val paused = HashSet<ReplicaId>()
    private val cutLinks = HashSet<Pair<ReplicaId, ReplicaId>>()
    private var bootCount = 0L
    private var proposals = 0
    var events = 0L
        private set

    // Test oracle
    private val leaderOfTerm = HashMap<Long, ReplicaId>()
    private val committed = HashMap<Long, String>()
    private val acknowledged = LinkedHashSet<String>()
    private var time = 0L

    /** Number of acknowledged payloads. */
    val acknowledgedCount: Int get() = acknowledged.size

    /** Number of terms that had a leader. */
    val ledTerms: Int get() = leaderOfTerm.size

    init {
        ids.forEach { boot(it) }
    }

    private fun bootedIds() = replicas.keys.sorted()

    private fun boot(id: ReplicaId) {
        val durable = disks.getValue(id).recover()
        val machine = FakeStateMachine()
        durable.snapshot?.let { machine.restore(it) }
        stateMachines[id] = machine
        val config = ReplicaConfig(id, keepEntries = 3, maxAppendBytes = 12, maxInflight = 3, snapshotChunkBytes = 7, seed = ++bootCount)
        val members = if (id == spare) Members(emptySet()) else bootstrap
        clocks[id] = time
        replicas[id] = Replica(config, members, durable, time)
    }

    private fun handleEvent(
        id: ReplicaId,
        event: ReplicaEvent,
    ) {
        val replica = replicas[id] ?: return
        if (id in paused) return
        events++
        clocks[id] = time
        replica.handle(event, time).forEach { execute(id, replica, it) }
        checkLease(id, replica)
    }

    private fun execute(
        id: ReplicaId,
        replica: Replica,
        effect: ReplicaEffect,
    ) {
        when (effect) {
            is ReplicaEffect.Send -> undelivered += InFlightMessage(id, effect.to, effect.message)
            is ReplicaEffect.Persist -> disks.getValue(id).queue(effect)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(id, replica, it) }
            is ReplicaEffect.Restore -> {
                stateMachines.getValue(id).restore(effect.snapshot)
                checkPrefix(id)
            }
            is ReplicaEffect.RoleChanged -> if (effect.role == Role.LEADER) onElected(id, effect.term)
        }
    }

    private fun onElected(
        id: ReplicaId,
        term: Long,
    ) {
        val other = leaderOfTerm.put(term, id)
        check(other == null || other == id) { "term $term has two leaders: $other and $id" }
        check(id !in bootstrap.witnesses) { "witness $id became leader" }
    }

    private fun apply(
        id: ReplicaId,
        replica: Replica,
        entry: LogEntry,
    ) {
        val machine = stateMachines.getValue(id)
        check(entry.index == machine.lastIndex + 1) { "$id applied entry ${entry.index} after ${machine.lastIndex}" }
        machine.lastIndex = entry.index
        val text = "${entry.term}:${entry.kind}:${String(entry.payload)}"
        val known = committed.putIfAbsent(entry.index, text)
        check(known == null || known == text) { "committed entry ${entry.index} is $known but $id applied $text" }
        if (entry.kind != EntryKind.COMMAND) return
        machine.applied.add(String(entry.payload))
        if (replica.isLeader) acknowledged.add(String(entry.payload))
    }

    private fun checkPrefix(id: ReplicaId) {
        val machine = stateMachines.getValue(id)
        val expected =
            (1..machine.lastIndex).mapNotNull { committed[it] }.filter { ":COMMAND:" in it }.map {
                it.substringAfter(
                    ":COMMAND:",
                )
            }
        check(machine.applied == expected) { "$id restored ${machine.applied}, expected the committed payloads $expected" }
    }

    private fun checkLease(
        id: ReplicaId,
        replica: Replica,
    ) {
        if (!replica.holdsLease(time)) return
        val others = bootedIds().filter { it != id && it !in paused && replicas.getValue(it).holdsLease(time) }
        check(others.isEmpty()) { "$id and $others all hold the leader lease at $time" }
        // A read under the lease must see every acknowledged payload.
        val missing = acknowledged - stateMachines.getValue(id).applied.toSet()
        check(missing.isEmpty()) { "$id holds the leader lease but has not applied acknowledged $missing" }
    }

    fun step(
        action: Int,
        replicaNumber: Int,
        argument: Int,
    ) {
        val id = bootedIds()[replicaNumber % replicas.size]
        when (action) {
            in 0..4 -> advanceTime(50L + argument)
            in 5..29 -> repeat(1 + argument % 8) { deliverRandom(drop = random.nextInt(15) == 0, duplicate = random.nextInt(12) == 0) }
            in 30..37 -> sync(id)
            in 38..44 -> bootedIds().forEach { sync(it) }
            in 45..50 -> propose()
            51 -> crash(id, survivingBatches = argument % 3)
            52 -> if (argument % 3 == 0) paused.add(id)
            53 -> paused.remove(id)
            54 -> cutLinks.add(id to bootedIds()[argument % replicas.size])
            55 -> if (argument % 2 == 0) cutLinks.clear()
            56 -> compact(id)
            57 -> handleEvent(id, ReplicaEvent.TransferLeadership(bootedIds()[argument % replicas.size]))
            58 -> changeMembers(argument)
            else -> advanceTime(300L + argument * 10L)
        }
    }

    private fun advanceTime(millis: Long) {
        time += millis
        bootedIds().forEach { handleEvent(it, ReplicaEvent.Tick) }
    }

    private fun deliverRandom(
        drop: Boolean,
        duplicate: Boolean,
    ) {
        if (undelivered.isEmpty()) return
        val inFlight = undelivered.removeAt(random.nextInt(undelivered.size))
        if (drop || (inFlight.from to inFlight.to) in cutLinks) return
        if (duplicate) undelivered += inFlight
        if (inFlight.to in paused) {
            undelivered += inFlight
            return
        }
        handleEvent(inFlight.to, ReplicaEvent.Received(inFlight.from, inFlight.message))
    }

    private fun sync(id: ReplicaId) {
        val disk = disks.getValue(id)
        if (disk.hasPending && id !in paused) handleEvent(id, ReplicaEvent.Persisted(disk.syncOne()))
    }

    private fun propose() {
        val leaders = bootedIds().filter { replicas.getValue(it).isLeader }
        leaders.forEach { handleEvent(it, ReplicaEvent.Propose(listOf("p${proposals++}".toByteArray()))) }
    }

    private fun crash(
        id: ReplicaId,
        survivingBatches: Int,
    ) {
        disks.getValue(id).crash(survivingBatches)
        paused.remove(id)
        boot(id)
    }

    private fun compact(id: ReplicaId) {
        val machine = stateMachines.getValue(id)
        handleEvent(id, ReplicaEvent.Compact(machine.lastIndex, machine.state()))
    }

    private fun changeMembers(argument: Int) {
        val leader = bootedIds().firstOrNull { replicas.getValue(it).isLeader } ?: return
        val current = replicas.getValue(leader).members
        if (spare !in replicas) boot(spare)
        val candidates = listOf(ids.first(), spare)
        val candidate = candidates[argument % 2]
        val next =
            when {
                candidate in current.voters && current.voters.size > 2 ->
                    current.copy(voters = current.voters - candidate, learners = current.learners + candidate)
                candidate !in current.all -> current.copy(learners = current.learners + candidate)
                else -> current.copy(voters = current.voters + candidate, learners = current.learners - candidate)
            }
        handleEvent(leader, ReplicaEvent.ProposeMembers(next))
    }

    /** Repairs all faults, then checks that the group elects a leader, commits a proposal and ends in identical states. */
    fun settle() {
        cutLinks.clear()
        paused.clear()
        repeat(400) { round ->
            advanceTime(50)
            repeat(3) {
                bootedIds().forEach { id -> while (disks.getValue(id).hasPending) sync(id) }
                repeat(undelivered.size) { deliverRandom(drop = false, duplicate = false) }
            }
            if (round == 300) propose()
        }
        val leaders = bootedIds().filter { replicas.getValue(it).isLeader && replicas.getValue(it).holdsLease(time) }
        check(leaders.size == 1) { "expected one leader with a lease after the repair, found $leaders" }
        val reference = stateMachines.getValue(leaders.single())
        check(
            reference.applied.containsAll(acknowledged),
        ) { "acknowledged payloads were lost: ${acknowledged - reference.applied.toSet()}" }
        check(reference.applied.size == reference.applied.toSet().size) { "a payload was applied twice" }
        replicas.getValue(leaders.single()).members.all.forEach { id ->
            check(
                stateMachines.getValue(id).applied == reference.applied,
            ) { "state of $id differs from that of leader ${leaders.single()}" }
        }
    }
}
