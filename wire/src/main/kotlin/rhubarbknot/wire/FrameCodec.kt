package rhubarbknot.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.io.IOException

/**
 * Reads and writes the frames of a peer connection: a four-byte length followed by CBOR.
 *
 * Unknown fields are ignored, so that peers whose versions differ by one can communicate.
 */
object FrameCodec {
    private const val MAX_FRAME_BYTES = 32 * 1024 * 1024

    val cbor: Cbor =
        Cbor {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    /** Writes one frame without flushing and returns its size in bytes, excluding the length prefix. */
    suspend fun <T> write(
        out: ByteWriteChannel,
        serializer: KSerializer<T>,
        value: T,
    ): Int {
        val bytes = cbor.encodeToByteArray(serializer, value)
        out.writeInt(bytes.size)
        out.writeByteArray(bytes)
        return bytes.size
    }

    /** Reads one frame and passes its size in bytes, excluding the length prefix, to [onBytes]. */
    suspend fun <T> read(
        input: ByteReadChannel,
        serializer: KSerializer<T>,
        onBytes: (Int) -> Unit = {},
    ): T {
        val size = input.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("invalid frame size: $size bytes")
        val bytes = input.readByteArray(size)
        onBytes(size)
        return cbor.decodeFromByteArray(serializer, bytes)
    }
}
