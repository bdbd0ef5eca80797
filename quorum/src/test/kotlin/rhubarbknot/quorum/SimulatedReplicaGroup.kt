package rhubarbknot.quorum

import java.util.SplittableRandom

/** A disk that keeps what was synced and loses the rest when its process dies. */
class FakeDisk {
    private val written = ArrayList<ReplicaEffect.Persist>()
    private val pending = ArrayDeque<ReplicaEffect.Persist>()

    val hasPending: Boolean get() = pending.isNotEmpty()

    fun queue(batch: ReplicaEffect.Persist) {
        pending.addLast(batch)
    }

    /** Syncs the oldest waiting batch and returns its sequence. */
    fun syncOne(): Long {
        val batch = pending.removeFirst()
        written += batch
        return batch.sequence
    }

    /** The process dies: of what was not synced, the first [kept] batches happen to be on disk all the same. */
    fun crash(kept: Int) {
        repeat(minOf(kept, pending.size)) { written += pending.removeFirst() }
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

/** The embedder's state: the list of payloads that were applied. */
class FakeMachine {
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

/** A message under way. */
private class InFlightMessage(
    val from: ReplicaId,
    val to: ReplicaId,
    val message: ReplicaMessage,
)

/**
 * Replicas with a network that drops, doubles, reorders and cuts, disks that lose what was not synced, pauses and
 * crashes. The oracle knows which payloads were acknowledged, who led each term and what stands at each index.
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
    private val machines = HashMap<ReplicaId, FakeMachine>()
    private val replicas = HashMap<ReplicaId, Replica>()
    private val clocks = HashMap<ReplicaId, Long>()
    private val flights = ArrayList<InFlightMessage>()
    private val paused = HashSet<ReplicaId>()
    private val cuts = HashSet<Pair<ReplicaId, ReplicaId>>()
    private var boots = 0L
    private var proposals = 0
    var events = 0L
        private set

    // The oracle
    private val leaderOfTerm = HashMap<Long, ReplicaId>()
    private val committed = HashMap<Long, String>()
    private val acknowledged = LinkedHashSet<String>()
    private var time = 0L

    /** How many payloads were acknowledged, and how many terms had a leader. */
    val acknowledgedCount: Int get() = acknowledged.size
    val ledTerms: Int get() = leaderOfTerm.size

    init {
        ids.forEach { boot(it) }
    }

    private fun all() = replicas.keys.sorted()

    private fun boot(id: ReplicaId) {
        val durable = disks.getValue(id).recover()
        val machine = FakeMachine()
        durable.snapshot?.let { machine.restore(it) }
        machines[id] = machine
        val config = ReplicaConfig(id, keepEntries = 3, maxAppendBytes = 12, maxInflight = 3, snapshotChunkBytes = 7, seed = ++boots)
        val members = if (id == spare) Members(emptySet()) else bootstrap
        clocks[id] = time
        replicas[id] = Replica(config, members, durable, time)
    }

    private fun feed(
        id: ReplicaId,
        event: ReplicaEvent,
    ) {
        val replica = replicas[id] ?: return
        if (id in paused) return
        events++
        clocks[id] = time
        replica.handle(event, time).forEach { carryOut(id, replica, it) }
        checkLease(id, replica)
    }

    private fun carryOut(
        id: ReplicaId,
        replica: Replica,
        effect: ReplicaEffect,
    ) {
        when (effect) {
            is ReplicaEffect.Send -> flights += InFlightMessage(id, effect.to, effect.message)
            is ReplicaEffect.Persist -> disks.getValue(id).queue(effect)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(id, replica, it) }
            is ReplicaEffect.Restore -> {
                machines.getValue(id).restore(effect.snapshot)
                checkPrefix(id)
            }
            is ReplicaEffect.RoleChanged -> if (effect.role == Role.LEADER) elected(id, effect.term)
        }
    }

    private fun elected(
        id: ReplicaId,
        term: Long,
    ) {
        val other = leaderOfTerm.put(term, id)
        check(other == null || other == id) { "term $term is led by $other and $id" }
        check(id !in bootstrap.witnesses) { "$id is a witness and leads" }
    }

    private fun apply(
        id: ReplicaId,
        replica: Replica,
        entry: LogEntry,
    ) {
        val machine = machines.getValue(id)
        check(entry.index == machine.lastIndex + 1) { "$id applies ${entry.index} after ${machine.lastIndex}" }
        machine.lastIndex = entry.index
        val text = "${entry.term}:${entry.kind}:${String(entry.payload)}"
        val known = committed.putIfAbsent(entry.index, text)
        check(known == null || known == text) { "index ${entry.index} is $known and, on $id, $text" }
        if (entry.kind != EntryKind.COMMAND) return
        machine.applied.add(String(entry.payload))
        if (replica.isLeader) acknowledged.add(String(entry.payload))
    }

    private fun checkPrefix(id: ReplicaId) {
        val machine = machines.getValue(id)
        val expected =
            (1..machine.lastIndex).mapNotNull { committed[it] }.filter { ":COMMAND:" in it }.map {
                it.substringAfter(
                    ":COMMAND:",
                )
            }
        check(machine.applied == expected) { "$id restored ${machine.applied}, committed was $expected" }
    }

    private fun checkLease(
        id: ReplicaId,
        replica: Replica,
    ) {
        if (!replica.holdsLease(time)) return
        val others = all().filter { it != id && it !in paused && replicas.getValue(it).holdsLease(time) }
        check(others.isEmpty()) { "$id and $others hold the leader lease at $time" }
        // A read under the lease must see everything that was acknowledged.
        val missing = acknowledged - machines.getValue(id).applied.toSet()
        check(missing.isEmpty()) { "$id holds the lease and lacks $missing" }
    }

    fun step(
        action: Int,
        a: Int,
        b: Int,
    ) {
        val id = all()[a % replicas.size]
        when (action) {
            in 0..4 -> pass(50L + b)
            in 5..29 -> repeat(1 + b % 8) { deliver(drop = random.nextInt(15) == 0, double = random.nextInt(12) == 0) }
            in 30..37 -> sync(id)
            in 38..44 -> all().forEach { sync(it) }
            in 45..50 -> propose()
            51 -> crash(id, kept = b % 3)
            52 -> if (b % 3 == 0) paused.add(id)
            53 -> paused.remove(id)
            54 -> cuts.add(id to all()[b % replicas.size])
            55 -> if (b % 2 == 0) cuts.clear()
            56 -> compact(id)
            57 -> feed(id, ReplicaEvent.TransferLeadership(all()[b % replicas.size]))
            58 -> changeMembers(b)
            else -> pass(300L + b * 10L)
        }
    }

    private fun pass(millis: Long) {
        time += millis
        all().forEach { feed(it, ReplicaEvent.Tick) }
    }

    private fun deliver(
        drop: Boolean,
        double: Boolean,
    ) {
        if (flights.isEmpty()) return
        val flight = flights.removeAt(random.nextInt(flights.size))
        if (drop || (flight.from to flight.to) in cuts) return
        if (double) flights += flight
        if (flight.to in paused) {
            flights += flight
            return
        }
        feed(flight.to, ReplicaEvent.Received(flight.from, flight.message))
    }

    private fun sync(id: ReplicaId) {
        val disk = disks.getValue(id)
        if (disk.hasPending && id !in paused) feed(id, ReplicaEvent.Persisted(disk.syncOne()))
    }

    private fun propose() {
        val leaders = all().filter { replicas.getValue(it).isLeader }
        leaders.forEach { feed(it, ReplicaEvent.Propose(listOf("p${proposals++}".toByteArray()))) }
    }

    private fun crash(
        id: ReplicaId,
        kept: Int,
    ) {
        disks.getValue(id).crash(kept)
        paused.remove(id)
        boot(id)
    }

    private fun compact(id: ReplicaId) {
        val machine = machines.getValue(id)
        feed(id, ReplicaEvent.Compact(machine.lastIndex, machine.state()))
    }

    private fun changeMembers(b: Int) {
        val leader = all().firstOrNull { replicas.getValue(it).isLeader } ?: return
        val now = replicas.getValue(leader).members
        if (spare !in replicas) boot(spare)
        val candidates = listOf(ids.first(), spare)
        val one = candidates[b % 2]
        val next =
            when {
                one in now.voters && now.voters.size > 2 -> now.copy(voters = now.voters - one, learners = now.learners + one)
                one !in now.all -> now.copy(learners = now.learners + one)
                else -> now.copy(voters = now.voters + one, learners = now.learners - one)
            }
        feed(leader, ReplicaEvent.ProposeMembers(next))
    }

    /** Repairs everything; then the group must elect, commit, and agree to the byte. */
    fun settle() {
        cuts.clear()
        paused.clear()
        repeat(400) { round ->
            pass(50)
            repeat(3) {
                all().forEach { id -> while (disks.getValue(id).hasPending) sync(id) }
                repeat(flights.size) { deliver(drop = false, double = false) }
            }
            if (round == 300) propose()
        }
        val leader = all().filter { replicas.getValue(it).isLeader && replicas.getValue(it).holdsLease(time) }
        check(leader.size == 1) { "leaders after healing: $leader" }
        val reference = machines.getValue(leader.single())
        check(reference.applied.containsAll(acknowledged)) { "acknowledged and lost: ${acknowledged - reference.applied.toSet()}" }
        check(reference.applied.size == reference.applied.toSet().size) { "a payload was applied twice" }
        replicas.getValue(leader.single()).members.all.forEach { id ->
            check(machines.getValue(id).applied == reference.applied) { "$id differs from ${leader.single()}" }
        }
    }
}
