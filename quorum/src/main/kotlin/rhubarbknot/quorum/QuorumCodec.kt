package rhubarbknot.quorum

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** CBOR encoding of stored data and messageSerializer. Unknown fields are ignored, so that newer versions can add fields. */
object QuorumCodec {
    val cbor: Cbor =
        Cbor {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    private val messageSerializer = ReplicaMessage.serializer()

    fun encodeMembers(members: Members): ByteArray = cbor.encodeToByteArray(members)

    fun decodeMembers(bytes: ByteArray): Members = cbor.decodeFromByteArray(bytes)

    fun encodeMessage(message: ReplicaMessage): ByteArray = cbor.encodeToByteArray(messageSerializer, message)

    fun decodeMessage(bytes: ByteArray): ReplicaMessage = cbor.decodeFromByteArray(messageSerializer, bytes)
}
