package rhubarbknot.host

import rhubarbknot.core.model.RequestId
import rhubarbknot.quorum.ReplicaEffect

/** A connection from an executor; the driver assigns the number. */
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

    /** All batches of [group] up to and including [sequence] are synced to disk. */
    data class Persisted(
        val group: GroupId,
        val sequence: Long,
    ) : HostEvent

    data class PersistFailed(
        val group: GroupId,
        val reason: String,
    ) : HostEvent

    /** A request from a caller or an operator; answered by exactly one [HostEffect.Respond]. */
    data class RequestReceived(
        val id: RequestId,
        val request: ApiRequest,
    ) : HostEvent

    /** This host refused a peer or client that failed authentication. */
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

    /** Starts a graceful shutdown: transfers leadership where possible and completes outstanding requests. */
    data object Shutdown : HostEvent
}

/** Output of an [EntryHost]. */
sealed interface HostEffect {
    data class SendPeer(
        val to: HostId,
        val frame: PeerFrame,
    ) : HostEffect

    /** Writes and syncs [batch]; the driver then reports [HostEvent.Persisted]. */
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

    /** The graceful shutdown is complete or has timed out; the process may exit. */
    data object ShutdownComplete : HostEffect
}
