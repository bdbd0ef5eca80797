package rhubarbknot.core.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.security.MessageDigest
import java.util.HexFormat

/** CBOR serialization of commands and snapshots, and the SHA-256 digest used to compare them. */
object Codec {
    val cbor: Cbor =
        Cbor {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, value)

    fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T = cbor.decodeFromByteArray(serializer, bytes)

    /** SHA-256 of [bytes] as a hexadecimal string. */
    fun digest(bytes: ByteArray): String = HexFormat.of().formatHex(sha256(bytes))

    fun sha256(bytes: ByteArray): ByteArray = MessageDigest.getInstance("SHA-256").digest(bytes)
}
