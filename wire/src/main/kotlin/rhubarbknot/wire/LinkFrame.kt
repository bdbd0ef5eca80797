package rhubarbknot.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import rhubarbknot.host.HostId
import rhubarbknot.host.PeerFrame

/** A frame on a connection between two entry hosts. */
@Serializable
internal sealed interface LinkFrame {
    /** First frame of the handshake, sent by the dialing side. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val cluster: String,
        val from: HostId,
        val to: HostId,
        val nonce: String,
    ) : LinkFrame

    /** Reply of the accepting side, with proof that it knows the cluster secret. */
    @Serializable
    @SerialName("challenge")
    data class Challenge(
        val nonce: String,
        val proof: String,
    ) : LinkFrame

    /** Proof that the dialing side knows the cluster secret. */
    @Serializable
    @SerialName("proof")
    data class Proof(
        val proof: String,
    ) : LinkFrame

    @Serializable
    @SerialName("peer")
    data class Peer(
        val frame: PeerFrame,
    ) : LinkFrame

    @Serializable
    @SerialName("ping")
    data object Ping : LinkFrame

    @Serializable
    @SerialName("pong")
    data object Pong : LinkFrame
}

/** Caches the frame serializer, because serializer() of a sealed interface builds a new instance on each call. */
internal object LinkFrames {
    val serializer = LinkFrame.serializer()
}
