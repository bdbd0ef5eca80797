package rhubarbknot.quorum

import java.util.SplittableRandom

/**
 * One member of a Raft group, implemented as a deterministic state machine that maps events to effects.
 *
 * Implements Raft with pre-vote, check-quorum, a leader lease, pipelined appends, chunked snapshots, single-server
 * membership changes and leadership transfer. It reads no clock and performs no I/O: the caller passes the time with
 * each event (milliseconds of a local monotonic clock) and carries out disk and network operations, which are
 * returned as [ReplicaEffect]s. A reply that acknowledges durable state is sent only after the
 * [ReplicaEvent.Persisted] event that covers that state.
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

    /** Current membership, taken from the latest membership entry in the log even if it is not committed yet. */
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

    // A restarted replica may have acknowledged a leader just before the restart, so it grants no vote until the
    // lease of such a leader has expired.
    private var lastLeaderContactAt = nowMillis
    private var nextElectionAt = nowMillis + electionTimeout()
    private var nextHeartbeatAt = Long.MAX_VALUE
    private val votes = HashSet<ReplicaId>()
    private val progress = HashMap<ReplicaId, FollowerProgress>()
    private var termStartIndex = Long.MAX_VALUE
    private var electedAt = 0L

    /** The age of what was sent until then is unknown. */
    private var clockDoubtedAt = Long.MIN_VALUE
    private val leadershipTransfer = LeadershipTransfer()
    private var incomingSnapshot: IncomingSnapshot? = null

    private val durability = DurabilityTracker(log.lastIndex)
    private val logSender = LogSender(config, log)

    /** Reason of the disk failure that halted this replica, or null if there was none. */
    var haltReason: String? = null
        private set

    val self: ReplicaId get() = config.self
    val term: Long get() = hardState.term
    val lastIndex: Long get() = log.lastIndex
    val isLeader: Boolean get() = role == Role.LEADER

    /** Index of the last entry covered by the latest snapshot; 0 without a snapshot. */
    val snapshotIndex: Long get() = latestSnapshot?.index ?: 0

    /** Payload bytes of the committed entries that the latest snapshot does not cover. */
    val bytesSinceSnapshot: Long get() = log.bytesBetween(snapshotIndex, commitIndex)

    /** Payload bytes of the entries that are not committed yet. */
    val uncommittedBytes: Long get() = log.bytesBetween(commitIndex, log.lastIndex)

    /** Handles [event] at [nowMillis] and returns the effects to carry out, in order. */
    fun handle(
        event: ReplicaEvent,
        nowMillis: Long,
    ): List<ReplicaEffect> {
        now = maxOf(now, nowMillis)
        if (role != Role.HALTED) dispatch(event)
        if (effects.isEmpty()) return emptyList()
        val pendingEffects = ArrayList(effects)
        effects.clear()
        return pendingEffects
    }

    private fun dispatch(event: ReplicaEvent) =
        when (event) {
            ReplicaEvent.Tick -> onTick()
            is ReplicaEvent.Received -> onMessage(event.from, event.message)
            is ReplicaEvent.Propose -> propose(event.payloads)
            is ReplicaEvent.ProposeMembers -> proposeMembers(event.members)
            is ReplicaEvent.Disconnected -> onDisconnected(event.peer)
            is ReplicaEvent.Persisted -> onPersisted(event.sequence)
            is ReplicaEvent.PersistFailed -> halt(event.reason)
            is ReplicaEvent.Compact -> compact(event.index, event.state)
            is ReplicaEvent.TransferLeadership -> startTransfer(event.to)
            ReplicaEvent.ClockDoubted -> doubtClock()
        }

    /**
     * Time on this leader's clock until which no other replica can become leader. Returns [Long.MIN_VALUE] when this
     * replica is not the leader, has not committed an entry in its term or is transferring leadership.
     */
    fun leaseUntilMillis(): Long {
        if (role != Role.LEADER || commitIndex < termStartIndex || leadershipTransfer.isInProgress) return Long.MIN_VALUE
        if (members.quorum == 1 && self in members.voters) return now + config.electionMinMillis
        val ackedSendTimes = members.voters.filter { it != self }.map { progress[it]?.lastAckedSendTime ?: Long.MIN_VALUE }
        val requiredAcks = if (self in members.voters) members.quorum - 1 else members.quorum
        val quorumSendTime = ackedSendTimes.sortedDescending()[requiredAcks - 1]
        if (quorumSendTime <= clockDoubtedAt) return Long.MIN_VALUE
        return quorumSendTime + config.electionMinMillis * (1000 - config.driftPerMille) / 1000 - CLOCK_UNIT_MILLIS
    }

    /** Whether the leader lease is valid at [nowMillis], so that this replica can serve up-to-date reads. */
    fun holdsLease(nowMillis: Long): Boolean = nowMillis < leaseUntilMillis()

    /** Highest log index known to be stored durably by [id]. */
    fun matchOf(id: ReplicaId): Long = if (id == self) durability.syncedIndex else progress[id]?.matchIndex ?: 0

    private fun electionTimeout(): Long =
        config.electionMinMillis + random.nextLong(config.electionMaxMillis - config.electionMinMillis + 1)

    private fun canCampaign(): Boolean = self in members.voters && self !in members.witnesses

    private fun onTick() {
        if (role == Role.LEADER) {
            onLeaderTick()
        } else if (now >= nextElectionAt && canCampaign()) {
            campaign(preVote = true, transfer = false)
        }
    }

    /** Shortens the election timeout after losing the leader's connection: campaigns once the leader lease has expired. */
    private fun onDisconnected(peer: ReplicaId) {
        if (role == Role.LEADER || peer != leader) return
        nextElectionAt = minOf(nextElectionAt, lastLeaderContactAt + config.electionMinMillis + random.nextLong(config.heartbeatMillis))
    }

    /** Gives up the leader lease until a quorum has acknowledged something sent from now on. */
    private fun doubtClock() {
        clockDoubtedAt = now
        // What is sent from now on must differ in time from what was sent before.
        now += CLOCK_UNIT_MILLIS
        if (role == Role.LEADER) nextHeartbeatAt = now
    }

    private fun onLeaderTick() {
        if (now - electedAt > config.electionMaxMillis && !hasQuorumContact()) {
            becomeFollower(term, null)
            return
        }
        if (leadershipTransfer.isOverdue(now) && leadershipTransfer.end()) {
            becomeFollower(term, null)
            return
        }
        if (now < nextHeartbeatAt) return
        nextHeartbeatAt = now + config.heartbeatMillis
        peers().forEach { sendHeartbeat(it) }
    }

    private fun hasQuorumContact(): Boolean {
        val recentlyHeard = progress.filterValues { it.lastReplyAt >= now - config.electionMaxMillis }.keys
        return members.isQuorum(recentlyHeard + self)
    }

    private fun sendHeartbeat(to: ReplicaId) {
        val follower = progress.getValue(to)
        if (follower.lastReplyAt < now - 2 * config.heartbeatMillis) {
            // A follower that has not replied in this term yet reports its log position with its first reply.
            val hasReplied = follower.lastReplyAt > Long.MIN_VALUE
            follower.resendFrom(if (hasReplied) minOf(follower.nextIndex, follower.matchIndex + 1) else follower.nextIndex)
            // Without probing, every heartbeat would resend all missing entries to an unreachable follower.
            follower.probing = true
        }
        replicate(to, follower, forceSend = true)
    }

    private fun peers(): List<ReplicaId> = members.all.filter { it != self }.sorted()

    // Elections

    private fun campaign(
        preVote: Boolean,
        transfer: Boolean,
    ) {
        // A pre-vote changes no durable state, so it can be retried after half the timeout.
        nextElectionAt = now + if (preVote) electionTimeout() / 2 else electionTimeout()
        votes.clear()
        votes.add(self)
        leader = null
        val campaignTerm = term + 1
        if (preVote) {
            setRole(Role.PRE_CANDIDATE)
        } else {
            hardState = HardState(campaignTerm, self)
            persist(hardState = hardState)
            setRole(Role.CANDIDATE)
        }
        if (members.isQuorum(votes)) {
            onVoteRoundWon(preVote, transfer)
            return
        }
        val request = VoteRequest(campaignTerm, log.lastIndex, log.lastTerm, preVote, transfer)
        members.voters
            .filter { it != self }
            .sorted()
            .forEach { if (preVote) send(it, request) else sendOnceSynced(it, request) }
    }

    private fun onVoteRoundWon(
        preVote: Boolean,
        transfer: Boolean,
    ) {
        if (preVote) campaign(preVote = false, transfer = transfer) else becomeLeader()
    }

    private fun becomeLeader() {
        leader = self
        electedAt = now
        leadershipTransfer.termStarted()
        progress.clear()
        syncProgressWithMembers()
        nextHeartbeatAt = now + config.heartbeatMillis
        termStartIndex = log.lastIndex + 1
        setRole(Role.LEADER)
        appendAsLeader(listOf(LogEntry(log.lastIndex + 1, term, EntryKind.NOOP, ByteArray(0))))
    }

    private fun syncProgressWithMembers() {
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
        val roleOrLeaderChanged = role != Role.FOLLOWER || leader != newLeader
        leader = newLeader
        leadershipTransfer.end()
        if (roleOrLeaderChanged) {
            nextElectionAt = now + electionTimeout()
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
        durability.clearDeferredSends()
        setRole(Role.HALTED)
    }

    // Messages

    private fun onMessage(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        if (message is VoteRequest) {
            onVoteRequest(from, message)
            return
        }
        if (message.term > term && !(message is VoteReply && message.preVote && message.granted)) {
            val sentByLeader = message is Append || message is SnapshotChunk
            becomeFollower(message.term, if (sentByLeader) from else null)
        }
        if (message.term < term) {
            rejectStaleTerm(from, message)
            return
        }
        when (message) {
            is VoteReply -> onVoteReply(from, message)
            is Append -> onAppend(from, message)
            is AppendReply -> onAppendReply(from, message)
            is SnapshotChunk -> onSnapshotChunk(from, message)
            is SnapshotReply -> onSnapshotReply(from, message)
            is TimeoutNow -> if (canCampaign()) campaign(preVote = false, transfer = true)
            is VoteRequest -> Unit
        }
    }

    private fun rejectStaleTerm(
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        when (message) {
            is Append -> sendOnceSynced(from, AppendReply(term, false, log.lastIndex, message.sentAtMillis))
            is SnapshotChunk -> sendOnceSynced(from, SnapshotReply(term, message.index, 0, false, message.sentAtMillis))
            else -> Unit
        }
    }

    private fun onVoteRequest(
        from: ReplicaId,
        request: VoteRequest,
    ) {
        if (from !in members.voters && members.voters.isNotEmpty() && from !in members.all) return
        val leaderLeaseHolds = role == Role.LEADER || now - lastLeaderContactAt < config.electionMinMillis
        if (leaderLeaseHolds && !request.transfer) {
            // The rejection carries the current term. Without it, a replica that rejoins with a higher term could neither
            // become leader nor follow the current one.
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
        val voteAvailable = hardState.votedFor == null || hardState.votedFor == from
        val granted = upToDate && voteAvailable
        if (granted) {
            if (hardState.votedFor != from) {
                hardState = HardState(term, from)
                persist(hardState = hardState)
            }
            nextElectionAt = now + electionTimeout()
        }
        sendOnceSynced(from, VoteReply(term, granted, false))
    }

    private fun onVoteReply(
        from: ReplicaId,
        reply: VoteReply,
    ) {
        val isCurrentRound =
            if (reply.preVote) {
                role == Role.PRE_CANDIDATE && reply.term == term + 1
            } else {
                role == Role.CANDIDATE && reply.term == term
            }
        if (!isCurrentRound || !reply.granted) return
        votes.add(from)
        if (members.isQuorum(votes)) onVoteRoundWon(reply.preVote, transfer = false)
    }

    private fun onLeaderContact(from: ReplicaId) {
        lastLeaderContactAt = now
        nextElectionAt = now + electionTimeout()
        if (role != Role.FOLLOWER || leader != from) becomeFollower(term, from)
    }

    private fun onAppend(
        from: ReplicaId,
        message: Append,
    ) {
        onLeaderContact(from)
        val prevTerm = log.termAt(message.prevIndex)
        if (message.prevIndex < log.baseIndex) {
            // All entries up to the base index are committed, so they match the log of any valid leader.
            sendOnceSynced(from, AppendReply(term, true, log.baseIndex, message.sentAtMillis))
            return
        }
        if (prevTerm != message.prevTerm) {
            val retryIndex = if (prevTerm == null) log.lastIndex else log.firstIndexOfTerm(prevTerm, message.prevIndex) - 1
            sendOnceSynced(from, AppendReply(term, false, minOf(retryIndex, message.prevIndex - 1), message.sentAtMillis))
            return
        }
        storeEntries(message.entries)
        val matchIndex = message.prevIndex + message.entries.size
        commitTo(minOf(message.commitIndex, matchIndex))
        sendOnceSynced(from, AppendReply(term, true, matchIndex, message.sentAtMillis))
    }

    private fun storeEntries(entries: List<LogEntry>) {
        val newEntries = entries.dropWhile { log.termAt(it.index) == it.term }
        if (newEntries.isEmpty()) return
        val lastKept = newEntries.first().index - 1
        val truncateIndex = if (log.lastIndex > lastKept) lastKept else null
        if (truncateIndex != null) {
            check(truncateIndex >= commitIndex) { "refusing to truncate the log after $truncateIndex, below commit index $commitIndex" }
            log.truncateAfter(truncateIndex)
            durability.recordTruncation(truncateIndex)
        }
        newEntries.forEach(log::append)
        persist(truncateAfter = truncateIndex, entries = newEntries)
        refreshMembers()
    }

    private fun refreshMembers() {
        members = log.lastMembers() ?: latestSnapshot?.members ?: bootstrapMembers
    }

    private fun onAppendReply(
        from: ReplicaId,
        reply: AppendReply,
    ) {
        if (role != Role.LEADER) return
        val follower = progress[from] ?: return
        follower.recordReply(reply.sentAtMillis, now)
        follower.inflightAppends = maxOf(0, follower.inflightAppends - 1)
        if (reply.success) {
            follower.matchIndex = maxOf(follower.matchIndex, reply.matchIndex)
            follower.nextIndex = maxOf(follower.nextIndex, follower.matchIndex + 1)
            advanceCommit()
        } else {
            follower.resendFrom(maxOf(follower.matchIndex + 1, minOf(follower.nextIndex, reply.matchIndex + 1)))
        }
        if (role != Role.LEADER) return
        if (follower.nextIndex <= log.lastIndex) replicate(from, follower, forceSend = false)
        sendTimeoutNowIfCaughtUp()
    }

    // Proposals and replication

    private fun propose(payloads: List<ByteArray>) {
        if (role != Role.LEADER || leadershipTransfer.isInProgress || payloads.isEmpty()) return
        val first = log.lastIndex + 1
        appendAsLeader(payloads.mapIndexed { i, payload -> LogEntry(first + i, term, EntryKind.COMMAND, payload) })
    }

    private fun proposeMembers(next: Members) {
        val noChangePending = commitIndex >= termStartIndex && log.lastMembersIndex() <= commitIndex
        if (role != Role.LEADER || !noChangePending || !members.isSingleStepTo(next) || next == members) return
        if ((next.voters - members.voters).any { !caughtUp(it) }) return
        appendAsLeader(listOf(LogEntry(log.lastIndex + 1, term, EntryKind.MEMBERS, QuorumCodec.encodeMembers(next))))
    }

    /** Whether [id] lags by at most [CATCH_UP_ENTRIES] entries; only such a replica may be promoted to voter. */
    fun caughtUp(id: ReplicaId): Boolean = log.lastIndex - matchOf(id) <= CATCH_UP_ENTRIES

    private fun appendAsLeader(entries: List<LogEntry>) {
        entries.forEach(log::append)
        persist(entries = entries)
        if (entries.any { it.kind == EntryKind.MEMBERS }) {
            refreshMembers()
            syncProgressWithMembers()
        }
        progress.entries.sortedBy { it.key }.forEach { (id, follower) -> replicate(id, follower, forceSend = false) }
    }

    private fun replicate(
        to: ReplicaId,
        follower: FollowerProgress,
        forceSend: Boolean,
    ) = logSender.replicate(follower, forceSend, position()).forEach { send(to, it) }

    private fun position() = LeaderPosition(term, commitIndex, latestSnapshot, now)

    private fun onSnapshotChunk(
        from: ReplicaId,
        chunk: SnapshotChunk,
    ) {
        onLeaderContact(from)
        if (chunk.index <= commitIndex) {
            sendOnceSynced(from, SnapshotReply(term, chunk.index, chunk.totalBytes, true, chunk.sentAtMillis))
            return
        }
        val incoming = incomingSnapshot?.takeIf { it.isFor(chunk) } ?: IncomingSnapshot(chunk.index, chunk.snapshotTerm, chunk.totalBytes)
        incomingSnapshot = incoming
        incoming.accept(chunk)
        if (incoming.receivedBytes < incoming.totalBytes) {
            send(from, SnapshotReply(term, chunk.index, incoming.receivedBytes, false, chunk.sentAtMillis))
            return
        }
        incomingSnapshot = null
        installSnapshot(Snapshot(chunk.index, chunk.snapshotTerm, chunk.members, incoming.bytes))
        sendOnceSynced(from, SnapshotReply(term, chunk.index, chunk.totalBytes, true, chunk.sentAtMillis))
    }

    private fun installSnapshot(snapshot: Snapshot) {
        val keepsLogSuffix = log.termAt(snapshot.index) == snapshot.term
        if (keepsLogSuffix) log.compactTo(snapshot.index) else log.reset(snapshot.index, snapshot.term)
        latestSnapshot = snapshot
        commitIndex = snapshot.index
        appliedIndex = snapshot.index
        refreshMembers()
        durability.recordTruncation(log.lastIndex)
        persist(truncateAfter = if (keepsLogSuffix) null else snapshot.index, snapshot = snapshot)
        effects += ReplicaEffect.Restore(snapshot)
    }

    private fun onSnapshotReply(
        from: ReplicaId,
        reply: SnapshotReply,
    ) {
        if (role != Role.LEADER) return
        val follower = progress[from] ?: return
        follower.recordReply(reply.sentAtMillis, now)
        val snapshot = follower.snapshot
        if (reply.installed) {
            follower.matchIndex = maxOf(follower.matchIndex, reply.index)
            follower.nextIndex = maxOf(follower.nextIndex, reply.index + 1)
            follower.snapshot = null
            advanceCommit()
            if (follower.nextIndex <= log.lastIndex) replicate(from, follower, forceSend = false)
        } else if (snapshot != null && snapshot.index == reply.index && reply.receivedBytes != follower.snapshotOffset) {
            follower.snapshotOffset = reply.receivedBytes
            send(from, logSender.chunk(follower, snapshot, position()))
        }
    }

    private fun advanceCommit() {
        val matches = members.voters.map { matchOf(it) }.sortedDescending()
        val candidate = matches[members.quorum - 1]
        if (candidate > commitIndex && log.termAt(candidate) == term) {
            commitTo(candidate)
            if (self in members.all) sendCommitIndexToIdleFollowers() else becomeFollower(term, null)
        }
    }

    /** Sends the new commit index to idle followers immediately; others receive it with their next append. */
    private fun sendCommitIndexToIdleFollowers() {
        progress.entries
            .filter { it.value.inflightAppends == 0 && it.value.nextIndex > log.lastIndex && it.value.snapshot == null }
            .sortedBy { it.key }
            .forEach { (id, follower) -> replicate(id, follower, forceSend = true) }
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
        log.compactTo(minOf(index, log.indexBeforeSuffix(config.keepEntries, config.keepBytes)))
    }

    private fun membersAt(index: Long): Members {
        var position = index
        while (position > log.baseIndex) {
            val entry = log.entry(position--)
            if (entry.kind == EntryKind.MEMBERS) return QuorumCodec.decodeMembers(entry.payload)
        }
        return latestSnapshot?.members ?: bootstrapMembers
    }

    // Leadership transfer

    private fun startTransfer(to: ReplicaId?) {
        if (role != Role.LEADER) return
        val eligible = members.voters.filter { it != self && it !in members.witnesses }
        val target = to?.takeIf { it in eligible } ?: eligible.maxByOrNull { progress[it]?.matchIndex ?: 0 } ?: return
        leadershipTransfer.begin(target, now + config.electionMaxMillis)
        sendTimeoutNowIfCaughtUp()
    }

    private fun sendTimeoutNowIfCaughtUp() {
        val target = leadershipTransfer.target ?: return
        if (matchOf(target) != log.lastIndex) return
        leadershipTransfer.requested()
        send(target, TimeoutNow(term))
    }

    // Durability

    private fun persist(
        hardState: HardState? = null,
        truncateAfter: Long? = null,
        entries: List<LogEntry> = emptyList(),
        snapshot: Snapshot? = null,
    ) {
        val sequence = durability.recordWrite(log.lastIndex)
        effects += ReplicaEffect.Persist(sequence, hardState, truncateAfter, entries, snapshot)
    }

    private fun onPersisted(sequence: Long) {
        durability.recordSynced(sequence).forEach { if (it.message.term == term) effects += it }
        if (role == Role.LEADER) advanceCommit()
    }

    private fun send(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        effects += ReplicaEffect.Send(to, message)
    }

    private fun sendOnceSynced(
        to: ReplicaId,
        message: ReplicaMessage,
    ) {
        val send = ReplicaEffect.Send(to, message)
        if (!durability.deferUntilSynced(send)) effects += send
    }

    private companion object {
        const val CATCH_UP_ENTRIES = 1_000L
        const val CLOCK_UNIT_MILLIS = 1L
    }
}
