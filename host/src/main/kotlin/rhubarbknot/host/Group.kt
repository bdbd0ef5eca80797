package rhubarbknot.host

import rhubarbknot.quorum.DurableState
import rhubarbknot.quorum.EntryKind
import rhubarbknot.quorum.LogEntry
import rhubarbknot.quorum.Members
import rhubarbknot.quorum.Replica
import rhubarbknot.quorum.ReplicaConfig
import rhubarbknot.quorum.ReplicaEffect
import rhubarbknot.quorum.ReplicaEvent
import rhubarbknot.quorum.Role

/** State machine driven by a replicated log. */
internal interface ReplicatedStateMachine {
    /** Applies a committed command; [ours] if this host proposed it as leader in the current term. */
    fun apply(
        payload: ByteArray,
        ours: Boolean,
    )

    fun snapshot(): ByteArray

    fun restore(state: ByteArray)

    fun roleChanged(role: Role)
}

/** A replica and the state machine it drives; translates replica effects into host effects. */
internal class Group(
    val id: GroupId,
    private val config: HostConfig,
    members: Members,
    durable: DurableState,
    private val machine: ReplicatedStateMachine,
    private val effects: MutableList<HostEffect>,
    nowMillis: Long,
) {
    private val replica =
        Replica(
            ReplicaConfig(
                self = config.self.replica,
                heartbeatMillis = config.heartbeatMillis,
                electionMinMillis = config.electionMinMillis,
                electionMaxMillis = config.electionMaxMillis,
                driftPerMille = config.driftPerMille,
                seed = config.seed * SEED_STRIDE + id.name.hashCode(),
            ),
            members,
            durable,
            nowMillis,
        )

    val isLeader: Boolean get() = replica.isLeader
    val leader: HostId? get() = replica.leader?.host
    val term: Long get() = replica.term
    val commitIndex: Long get() = replica.commitIndex
    val members: Members get() = replica.members
    val haltReason: String? get() = replica.haltReason

    init {
        durable.snapshot?.let { machine.restore(it.state) }
    }

    fun holdsLease(now: Long): Boolean = replica.holdsLease(now)

    fun handle(
        event: ReplicaEvent,
        now: Long,
    ) {
        replica.handle(event, now).forEach { execute(it) }
        val index = replica.commitIndex
        if (index - replica.snapshotIndex >= config.snapshotEvery) {
            replica.handle(ReplicaEvent.Compact(index, machine.snapshot()), now).forEach { execute(it) }
        }
    }

    private fun execute(effect: ReplicaEffect) {
        when (effect) {
            is ReplicaEffect.Send -> effects += HostEffect.SendPeer(effect.to.host, PeerFrame.Replica(id, effect.message))
            is ReplicaEffect.Persist -> effects += HostEffect.Persist(id, effect)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(it) }
            is ReplicaEffect.Restore -> machine.restore(effect.snapshot.state)
            is ReplicaEffect.RoleChanged -> machine.roleChanged(effect.role)
        }
    }

    private fun apply(entry: LogEntry) {
        if (entry.kind == EntryKind.COMMAND) machine.apply(entry.payload, ours = isLeader && entry.term == term)
    }

    private companion object {
        const val SEED_STRIDE = 31L
    }
}

/** State machine of a witness, which votes and stores the log but does not apply it. */
internal class WitnessStateMachine : ReplicatedStateMachine {
    override fun apply(
        payload: ByteArray,
        ours: Boolean,
    ) = Unit

    override fun snapshot(): ByteArray = ByteArray(0)

    override fun restore(state: ByteArray) = Unit

    override fun roleChanged(role: Role) = Unit
}
