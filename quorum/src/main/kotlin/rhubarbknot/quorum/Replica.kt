package rhubarbknot.quorum

import java.util.SplittableRandom

/**
 * One member of a replicated log, as a pure state machine: events in, effects out.
 *
 * It follows Raft with pre-vote, check-quorum, a leader lease, pipelined appends, chunked snapshots,
 * single-step membership change and leadership transfer. It reads no clock and does no I/O: the time comes with
 * each event (milliseconds of a local monotonic clock) and disk and network are [ReplicaEffect]s. A reply that
 * promises something durable leaves only after the [ReplicaEvent.Persisted] that covers it.
 */
class Replica(
    private val config: ReplicaConfig,
    bootstrap: Members,
    durable: DurableState,
    nowMillis: Long,
) {
    private val random = SplittableRandom(config.seed)
    private val log = RaftLog(durable.snapshot, durable.entries)
    private var hardState = durable.hardState
    private var latestSnapshot = durable.snapshot
    private val bootstrapMembers = bootstrap
    private val effects = ArrayList<ReplicaEffect>()

    /** Membership in force, that of the newest entry whether committed or not. */
    var members: Members = log.lastMembers() ?: durable.snapshot?.members ?: bootstrap
        private set
    var role: Role = Role.FOLLOWER
        private set
    var leader: ReplicaId? = null
        private set
    var commitIndex: Long = durable.snapshot?.index ?: 0
        private set
    private var appliedIndex = commitIndex
    private var now = nowMillis

    // A restarted replica may have acknowledged a leader just before: it grants no vote until that lease is over.
    private var heardLeaderAt = nowMillis
    private var electionDue = nowMillis + electionTimeout()
    private var heartbeatDue = Long.MAX_VALUE
    private val votes = HashSet<ReplicaId>()
    private val progress = HashMap<ReplicaId, FollowerProgress>()
    private var termStartIndex = Long.MAX_VALUE
    private var electedAt = 0L
    private var transferTarget: ReplicaId? = null
    private var transferDeadline = 0L
    private var incoming: IncomingSnapshot? = null

    private val durability = DurabilityTracker(log.lastIndex)

    /** The reason a failed disk gave, or null while the disk works. */
    var haltReason: String? = null
        private set

    val self: ReplicaId get() = config.self
    val term: Long get() = hardState.term
    val lastIndex: Long get() = log.lastIndex
    val isLeader: Boolean get() = role == Role.LEADER

    /** Index of the snapshot that replaces the start of the log. */
    val snapshotIndex: Long get() = latestSnapshot?.index ?: 0

    /** Handles [event] at [nowMillis] and returns what must be done, in order. */
    fun handle(
        event: ReplicaEvent,
        nowMillis: Long,
    ): List<ReplicaEffect> {
        now = maxOf(now, nowMillis)
        if (role != Role.HALTED) dispatch(event)
        if (effects.isEmpty()) return emptyList()
        val out = ArrayList(effects)
        effects.clear()
        return out
    }

    private fun dispatch(event: ReplicaEvent) =
        when (event) {
            ReplicaEvent.Tick -> tick()
            is ReplicaEvent.Received -> receive(event.from, event.message)
            is ReplicaEvent.Propose -> propose(event.payloads)
            is ReplicaEvent.ProposeMembers -> proposeMembers(event.members)
            is ReplicaEvent.Disconnected -> disconnected(event.peer)
            is ReplicaEvent.Persisted -> persisted(event.sequence)
            is ReplicaEvent.PersistFailed -> halt(event.reason)
            is ReplicaEvent.Compact -> compact(event.index, event.state)
            is ReplicaEvent.TransferLeadership -> transfer(event.to)
        }

    /**
     * Until when no other replica can have become leader, by this leader's clock; a time in the past when this
     * replica does not lead or has not committed in its term.
     */
    fun leaseUntilMillis(): Long {
        if (role != Role.LEADER || commitIndex < termStartIndex || transferTarget != null) return Long.MIN_VALUE
        if (members.quorum == 1 && self in members.voters) return now + config.electionMinMillis
        val acks = members.voters.filter { it != self }.map { progress[it]?.ackedSentAt ?: Long.MIN_VALUE }
        val others = if (self in members.voters) members.quorum - 1 else members.quorum
        val base = acks.sortedDescending()[others - 1]
        if (base == Long.MIN_VALUE) return Long.MIN_VALUE
        return base + config.electionMinMillis * (1000 - config.driftPerMille) / 1000
    }

    /** Whether state read now is the newest: the leader lease holds at [nowMillis]. */
    fun holdsLease(nowMillis: Long): Boolean = nowMillis < leaseUntilMillis()

    /** The last index that [id] is known to hold; for status pages. */
    fun matchOf(id: ReplicaId): Long = if (id == self) durability.index else progress[id]?.match ?: 0

    private fun electionTimeout(): Long =
        config.electionMinMillis + random.nextLong(config.electionMaxMillis - config.electionMinMillis + 1)

    private fun mayStand(): Boolean = self in members.voters && self !in members.witnesses

    private fun tick() {
        if (role == Role.LEADER) {
            leaderTick()
        } else if (now >= electionDue && mayStand()) {
            campaign(preVote = true, transfer = false)
        }
    }

    /** Stands for election as soon as the lost leader's lease is over, in place of after the whole time-out. */
    private fun disconnected(peer: ReplicaId) {
        if (role == Role.LEADER || peer != leader) return
        electionDue = minOf(electionDue, heardLeaderAt + config.electionMinMillis + random.nextLong(config.heartbeatMillis))
    }

    private fun leaderTick() {
        if (now - electedAt > config.electionMaxMillis && !heardFromQuorum()) {
            becomeFollower(term, null)
            return
        }
        if (transferTarget != null && now >= transferDeadline) transferTarget = null
        if (now < heartbeatDue) return
        heartbeatDue = now + config.heartbeatMillis
        peers().forEach { heartbeat(it) }
    }

    private fun heardFromQuorum(): Boolean {
        val recent = progress.filterValues { it.lastReplyAt >= now - config.electionMaxMillis }.keys
        return members.isQuorum(recent + self)
    }

    private fun heartbeat(to: ReplicaId) {
        val follower = progress.getValue(to)
        if (follower.lastReplyAt < now - 2 * config.heartbeatMillis) {
            follower.inflight = 0
            // One that was never heard in this term tells where to start when it answers.
            if (follower.lastReplyAt > Long.MIN_VALUE) follower.next = minOf(follower.next, follower.match + 1)
            // A follower that is away would otherwise be sent everything it misses with each heartbeat.
            follower.probing = true
        }
        replicate(to, follower, always = true)
    }

    private fun peers(): List<ReplicaId> = members.all.filter { it != self }.sorted()

    // Elections

    private fun campaign(
        preVote: Boolean,
        transfer: Boolean,
    ) {
        // A pre-vote binds nobody, so it may be tried again sooner.
        electionDue = now + if (preVote) electionTimeout() / 2 else electionTimeout()
        votes.clear()
        votes.add(self)
        leader = null
        val standTerm = term + 1
        if (preVote) {
            setRole(Role.PRE_CANDIDATE)
        } else {
            hardState = HardState(standTerm, self)
            persist(hardState = hardState)
            setRole(Role.CANDIDATE)
        }
        if (members.isQuorum(votes)) {
            winRound(preVote, transfer)
            return
        }
        val request = VoteRequest(standTerm, log.lastIndex, log.lastTerm, preVote, transfer)
        members.voters
            .filter { it != self }
            .sorted()
            .forEach { if (preVote) send(it, request) else sendDurably(it, request) }
    }

    private fun winRound(
        preVote: Boolean,
        transfer: Boolean,
    ) {
        if (preVote) campaign(preVote = false, transfer = transfer) else becomeLeader()
    }

    private fun becomeLeader() {
        leader = self
        electedAt = now
        transferTarget = null
        progress.clear()
        syncProgress()
        heartbeatDue = now + config.heartbeatMillis
        termStartIndex = log.lastIndex + 1
        setRole(Role.LEADER)
        appendOwn(listOf(LogEntry(log.lastIndex + 1, term, EntryKind.NOOP, ByteArray(0))))
    }

    private fun syncProgress() {
        progress.keys.retainAll(members.all)
        members.all.filter { it != self }.forEach { id -> progress.getOrPut(id) { FollowerProgress(log.lastIndex + 1) } }
    }

    private fun becomeFollower(
        newTerm: Long,
        newLeader: ReplicaId?,
    ) {
        if (newTerm > term) {
            hardState = HardState(newTerm, null)
            persist(hardState = hardState)
        }
        val changed = role != Role.FOLLOWER || leader != newLeader
        leader = newLeader
        transferTarget = null
        if (changed) {
            electionDue = now + electionTimeout()
            setRole(Role.FOLLOWER)
        }
    }

    private fun setRole(next: Role) {
        role = next
        effects += ReplicaEffect.RoleChanged(role, term, leader)
    }

    private fun halt(reason: String) {
        haltReason = reason
        leader = null
        durability.forgetHeldBack()
        setRole(Role.HALTED)
    }

    // Messages

    private fun receive(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        if (message is VoteRequest) {
            voteRequest(from, message)
            return
        }
        if (message.term > term && !(message is VoteReply && message.preVote && message.granted)) {
            val sentByLeader = message is Append || message is SnapshotChunk
            becomeFollower(message.term, if (sentByLeader) from else null)
        }
        if (message.term < term) {
            refuseStale(from, message)
            return
        }
        when (message) {
            is VoteReply -> voteReply(from, message)
            is Append -> append(from, message)
            is AppendReply -> appendReply(from, message)
            is SnapshotChunk -> snapshotChunk(from, message)
            is SnapshotReply -> snapshotReply(from, message)
            is TimeoutNow -> if (mayStand()) campaign(preVote = false, transfer = true)
            is VoteRequest -> Unit
        }
    }

    private fun refuseStale(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        when (message) {
            is Append -> sendDurably(from, AppendReply(term, false, log.lastIndex, message.sentAtMillis))
            is SnapshotChunk -> sendDurably(from, SnapshotReply(term, message.index, 0, false, message.sentAtMillis))
            else -> Unit
        }
    }

    private fun voteRequest(
        from: ReplicaId,
        request: VoteRequest,
    ) {
        if (from !in members.voters && members.voters.isNotEmpty() && from !in members.all) return
        val leaderLeaseHolds = role == Role.LEADER || now - heardLeaderAt < config.electionMinMillis
        if (leaderLeaseHolds && !request.transfer) {
            // Without this answer a returning replica with a higher term could neither lead nor follow.
            if (request.preVote) send(from, VoteReply(term, false, true))
            return
        }
        if (request.term < term || (request.preVote && request.term == term)) {
            send(from, VoteReply(term, false, request.preVote))
            return
        }
        val upToDate = request.lastTerm > log.lastTerm || (request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex)
        if (request.preVote) {
            send(from, VoteReply(if (upToDate) request.term else term, upToDate, true))
            return
        }
        if (request.term > term) becomeFollower(request.term, null)
        val free = hardState.votedFor == null || hardState.votedFor == from
        val granted = upToDate && free
        if (granted) {
            if (hardState.votedFor != from) {
                hardState = HardState(term, from)
                persist(hardState = hardState)
            }
            electionDue = now + electionTimeout()
        }
        sendDurably(from, VoteReply(term, granted, false))
    }

    private fun voteReply(
        from: ReplicaId,
        reply: VoteReply,
    ) {
        val counts =
            if (reply.preVote) {
                role == Role.PRE_CANDIDATE && reply.term == term + 1
            } else {
                role == Role.CANDIDATE && reply.term == term
            }
        if (!counts || !reply.granted) return
        votes.add(from)
        if (members.isQuorum(votes)) winRound(reply.preVote, transfer = false)
    }

    private fun heardLeader(from: ReplicaId) {
        heardLeaderAt = now
        electionDue = now + electionTimeout()
        if (role != Role.FOLLOWER || leader != from) becomeFollower(term, from)
    }

    private fun append(
        from: ReplicaId,
        message: Append,
    ) {
        heardLeader(from)
        val prevTerm = log.termAt(message.prevIndex)
        if (message.prevIndex < log.baseIndex) {
            // Everything up to the base is committed, so it matches whatever this leader sends.
            sendDurably(from, AppendReply(term, true, log.baseIndex, message.sentAtMillis))
            return
        }
        if (prevTerm != message.prevTerm) {
            val retryFrom = if (prevTerm == null) log.lastIndex else log.firstIndexOfTerm(prevTerm, message.prevIndex) - 1
            sendDurably(from, AppendReply(term, false, minOf(retryFrom, message.prevIndex - 1), message.sentAtMillis))
            return
        }
        store(message.entries)
        val match = message.prevIndex + message.entries.size
        commitTo(minOf(message.commitIndex, match))
        sendDurably(from, AppendReply(term, true, match, message.sentAtMillis))
    }

    private fun store(entries: List<LogEntry>) {
        val fresh = entries.dropWhile { log.termAt(it.index) == it.term }
        if (fresh.isEmpty()) return
        val keep = fresh.first().index - 1
        val truncate = if (log.lastIndex > keep) keep else null
        if (truncate != null) {
            check(truncate >= commitIndex) { "truncation at $truncate below commit $commitIndex" }
            log.truncateAfter(truncate)
            durability.truncated(truncate)
        }
        fresh.forEach(log::append)
        persist(truncateAfter = truncate, entries = fresh)
        refreshMembers()
    }

    private fun refreshMembers() {
        members = log.lastMembers() ?: latestSnapshot?.members ?: bootstrapMembers
    }

    private fun appendReply(
        from: ReplicaId,
        reply: AppendReply,
    ) {
        if (role != Role.LEADER) return
        val follower = progress[from] ?: return
        follower.acked(reply.sentAtMillis, now)
        follower.inflight = maxOf(0, follower.inflight - 1)
        if (reply.success) {
            follower.match = maxOf(follower.match, reply.matchIndex)
            follower.next = maxOf(follower.next, follower.match + 1)
            advanceCommit()
        } else {
            follower.next = maxOf(follower.match + 1, minOf(follower.next, reply.matchIndex + 1))
            follower.inflight = 0
        }
        if (role != Role.LEADER) return
        if (follower.next <= log.lastIndex) replicate(from, follower, always = false)
        handOverIfReady()
    }

    // Proposals and replication

    private fun propose(payloads: List<ByteArray>) {
        if (role != Role.LEADER || transferTarget != null || payloads.isEmpty()) return
        val first = log.lastIndex + 1
        appendOwn(payloads.mapIndexed { i, payload -> LogEntry(first + i, term, EntryKind.COMMAND, payload) })
    }

    private fun proposeMembers(next: Members) {
        val settled = commitIndex >= termStartIndex && log.lastMembersIndex() <= commitIndex
        if (role != Role.LEADER || !settled || !members.isSingleStepTo(next) || next == members) return
        if ((next.voters - members.voters).any { !caughtUp(it) }) return
        appendOwn(listOf(LogEntry(log.lastIndex + 1, term, EntryKind.MEMBERS, QuorumCodec.encodeMembers(next))))
    }

    /** Whether [id] lags so little that its vote helps; a replica gains a vote only then. */
    fun caughtUp(id: ReplicaId): Boolean = log.lastIndex - matchOf(id) <= CATCH_UP_ENTRIES

    private fun appendOwn(entries: List<LogEntry>) {
        entries.forEach(log::append)
        persist(entries = entries)
        if (entries.any { it.kind == EntryKind.MEMBERS }) {
            refreshMembers()
            syncProgress()
        }
        progress.entries.sortedBy { it.key }.forEach { (id, follower) -> replicate(id, follower, always = false) }
    }

    private fun replicate(
        to: ReplicaId,
        follower: FollowerProgress,
        always: Boolean,
    ) {
        if (follower.next <= log.baseIndex) {
            sendSnapshot(to, follower, always)
            return
        }
        follower.snapshot = null
        if (follower.probing) {
            val prev = follower.next - 1
            if (always) send(to, Append(term, prev, checkNotNull(log.termAt(prev)), emptyList(), commitIndex, now))
            return
        }
        var sendOne = always
        while (sendOne || (follower.inflight < config.maxInflight && follower.next <= log.lastIndex)) {
            sendOne = false
            val prev = follower.next - 1
            val full = follower.inflight >= config.maxInflight
            val entries = if (full) emptyList() else log.slice(follower.next, log.lastIndex, config.maxAppendBytes)
            send(to, Append(term, prev, checkNotNull(log.termAt(prev)), entries, commitIndex, now))
            follower.next += entries.size
            if (entries.isNotEmpty()) follower.inflight++
        }
    }

    private fun sendSnapshot(
        to: ReplicaId,
        follower: FollowerProgress,
        always: Boolean,
    ) {
        val newest = checkNotNull(latestSnapshot) { "log compacted without a snapshot" }
        if (follower.snapshot !== newest) {
            follower.snapshot = newest
            follower.snapshotOffset = 0
        } else if (!always) {
            return
        }
        sendChunk(to, follower, newest)
    }

    private fun sendChunk(
        to: ReplicaId,
        follower: FollowerProgress,
        snapshot: Snapshot,
    ) {
        val offset = follower.snapshotOffset
        val end = minOf(snapshot.state.size, offset + config.snapshotChunkBytes)
        val bytes = snapshot.state.copyOfRange(offset, end)
        send(to, SnapshotChunk(term, snapshot.index, snapshot.term, snapshot.members, offset, snapshot.state.size, bytes, now))
    }

    private fun snapshotChunk(
        from: ReplicaId,
        chunk: SnapshotChunk,
    ) {
        heardLeader(from)
        if (chunk.index <= commitIndex) {
            sendDurably(from, SnapshotReply(term, chunk.index, chunk.totalBytes, true, chunk.sentAtMillis))
            return
        }
        val known = incoming
        val current =
            if (known != null && known.index == chunk.index && known.term == chunk.snapshotTerm && known.total == chunk.totalBytes) {
                known
            } else {
                IncomingSnapshot(chunk.index, chunk.snapshotTerm, chunk.totalBytes)
            }
        incoming = current
        current.accept(chunk)
        if (current.received < current.total) {
            send(from, SnapshotReply(term, chunk.index, current.received, false, chunk.sentAtMillis))
            return
        }
        incoming = null
        install(Snapshot(chunk.index, chunk.snapshotTerm, chunk.members, current.bytes))
        sendDurably(from, SnapshotReply(term, chunk.index, chunk.totalBytes, true, chunk.sentAtMillis))
    }

    private fun install(snapshot: Snapshot) {
        val keepsSuffix = log.termAt(snapshot.index) == snapshot.term
        if (keepsSuffix) log.compactTo(snapshot.index) else log.reset(snapshot.index, snapshot.term)
        latestSnapshot = snapshot
        commitIndex = snapshot.index
        appliedIndex = snapshot.index
        refreshMembers()
        durability.truncated(log.lastIndex)
        persist(truncateAfter = if (keepsSuffix) null else snapshot.index, snapshot = snapshot)
        effects += ReplicaEffect.Restore(snapshot)
    }

    private fun snapshotReply(
        from: ReplicaId,
        reply: SnapshotReply,
    ) {
        if (role != Role.LEADER) return
        val follower = progress[from] ?: return
        follower.acked(reply.sentAtMillis, now)
        val snapshot = follower.snapshot
        if (reply.installed) {
            follower.match = maxOf(follower.match, reply.index)
            follower.next = maxOf(follower.next, reply.index + 1)
            follower.snapshot = null
            advanceCommit()
            if (follower.next <= log.lastIndex) replicate(from, follower, always = false)
        } else if (snapshot != null && snapshot.index == reply.index && reply.receivedBytes != follower.snapshotOffset) {
            follower.snapshotOffset = reply.receivedBytes
            sendChunk(from, follower, snapshot)
        }
    }

    private fun advanceCommit() {
        val matches = members.voters.map { matchOf(it) }.sortedDescending()
        val candidate = matches[members.quorum - 1]
        if (candidate > commitIndex && log.termAt(candidate) == term) {
            commitTo(candidate)
            if (self in members.all) announceCommit() else becomeFollower(term, null)
        }
    }

    /** Tells idle followers at once that entries are committed; busy ones hear it with the next entries. */
    private fun announceCommit() {
        progress.entries
            .filter { it.value.inflight == 0 && it.value.next > log.lastIndex && it.value.snapshot == null }
            .sortedBy { it.key }
            .forEach { (id, follower) -> replicate(id, follower, always = true) }
    }

    private fun commitTo(index: Long) {
        val target = minOf(index, log.lastIndex)
        if (target <= commitIndex) return
        commitIndex = target
        val entries = log.slice(appliedIndex + 1, commitIndex, Int.MAX_VALUE)
        appliedIndex = commitIndex
        effects += ReplicaEffect.Apply(entries)
    }

    private fun compact(
        index: Long,
        state: ByteArray,
    ) {
        if (index <= snapshotIndex || index > appliedIndex) return
        val snapshotTerm = log.termAt(index) ?: return
        val snapshot = Snapshot(index, snapshotTerm, membersAt(index), state)
        latestSnapshot = snapshot
        persist(snapshot = snapshot)
        log.compactTo(minOf(index, log.lastIndex - config.keepEntries))
    }

    private fun membersAt(index: Long): Members {
        var at = index
        while (at > log.baseIndex) {
            val entry = log.entry(at--)
            if (entry.kind == EntryKind.MEMBERS) return QuorumCodec.decodeMembers(entry.payload)
        }
        return latestSnapshot?.members ?: bootstrapMembers
    }

    // Leadership transfer

    private fun transfer(to: ReplicaId?) {
        if (role != Role.LEADER) return
        val able = members.voters.filter { it != self && it !in members.witnesses }
        val target = to?.takeIf { it in able } ?: able.maxByOrNull { progress[it]?.match ?: 0 } ?: return
        transferTarget = target
        transferDeadline = now + config.electionMaxMillis
        handOverIfReady()
    }

    private fun handOverIfReady() {
        val target = transferTarget ?: return
        if (matchOf(target) == log.lastIndex) send(target, TimeoutNow(term))
    }

    // DurabilityTracker

    private fun persist(
        hardState: HardState? = null,
        truncateAfter: Long? = null,
        entries: List<LogEntry> = emptyList(),
        snapshot: Snapshot? = null,
    ) {
        val sequence = durability.written(log.lastIndex)
        effects += ReplicaEffect.Persist(sequence, hardState, truncateAfter, entries, snapshot)
    }

    private fun persisted(sequence: Long) {
        durability.synced(sequence).forEach { if (it.message.term == term) effects += it }
        if (role == Role.LEADER) advanceCommit()
    }

    private fun send(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        effects += ReplicaEffect.Send(to, message)
    }

    private fun sendDurably(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        val send = ReplicaEffect.Send(to, message)
        if (!durability.holdBack(send)) effects += send
    }

    private companion object {
        const val CATCH_UP_ENTRIES = 1_000L
    }
}
