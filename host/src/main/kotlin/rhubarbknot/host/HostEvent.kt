package rhubarbknot.host

import rhubarbknot.core.model.RequestId
import rhubarbknot.quorum.ReplicaEffect

/** One connection of an executor, numbered by the driver. */
@JvmInline
value class ConnectionId(
    val number: Long,
)

/** Input of an [EntryHost]. */
sealed interface HostEvent {
    data object Tick : HostEvent

    data class PeerReceived(
        val from: HostId,
        val frame: PeerFrame,
    ) : HostEvent

    /** Every batch of [group] up to [sequence] is synced. */
    data class Persisted(
        val group: GroupId,
        val sequence: Long,
    ) : HostEvent

    data class PersistFailed(
        val group: GroupId,
        val reason: String,
    ) : HostEvent

    /** A caller or an operator asks; answered by exactly one [HostEffect.Respond]. */
    data class RequestReceived(
        val id: RequestId,
        val request: ApiRequest,
    ) : HostEvent

    /** Somebody who could not prove what they are was turned away at this host. */
    data class Refused(
        val who: String,
        val what: String,
        val atMillis: Long,
    ) : HostEvent

    data class ExecutorFrameReceived(
        val connection: ConnectionId,
        val frame: FromExecutor,
    ) : HostEvent

    data class ExecutorDisconnected(
        val connection: ConnectionId,
    ) : HostEvent

    /** Hand over what can be handed over and finish the rest. */
    data object Shutdown : HostEvent
}

/** Output of an [EntryHost]. */
sealed interface HostEffect {
    data class SendPeer(
        val to: HostId,
        val frame: PeerFrame,
    ) : HostEffect

    /** Write and sync [batch], then report [HostEvent.Persisted]. */
    data class Persist(
        val group: GroupId,
        val batch: ReplicaEffect.Persist,
    ) : HostEffect

    data class Respond(
        val id: RequestId,
        val response: ApiResponse,
    ) : HostEffect

    data class SendExecutor(
        val connection: ConnectionId,
        val frame: ToExecutor,
    ) : HostEffect

    data class CloseExecutor(
        val connection: ConnectionId,
    ) : HostEffect

    /** Everything is handed over or finished; the process may end. */
    data object ShutdownComplete : HostEffect
}
