package rhubarbknot.wire

import kotlinx.serialization.json.Json
import rhubarbknot.host.FromExecutor
import rhubarbknot.host.ToExecutor

/** Encodes and decodes the JSON text frames of the executor protocol. */
object ExecutorCodec {
    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }

    // Cached because serializer() of a sealed interface builds a new instance on each call, which costs more than using it.
    private val fromExecutorSerializer = FromExecutor.serializer()
    private val toExecutorSerializer = ToExecutor.serializer()

    fun encode(frame: FromExecutor): String = json.encodeToString(fromExecutorSerializer, frame)

    fun encode(frame: ToExecutor): String = json.encodeToString(toExecutorSerializer, frame)

    /** @throws kotlinx.serialization.SerializationException if [text] is not a valid frame. */
    fun decodeFromExecutor(text: String): FromExecutor = json.decodeFromString(fromExecutorSerializer, text)

    /** @throws kotlinx.serialization.SerializationException if [text] is not a valid frame. */
    fun decodeToExecutor(text: String): ToExecutor = json.decodeFromString(toExecutorSerializer, text)
}
