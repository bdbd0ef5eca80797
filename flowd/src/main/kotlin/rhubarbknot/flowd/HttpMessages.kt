package rhubarbknot.flowd

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readUTF8Line

/**
 * A request with its complete body.
 *
 * @param isClosed whether the client has closed the connection.
 */
class HttpRequest(
    val method: String,
    val path: String,
    val body: ByteArray,
    private val headers: HttpHeadersMap?,
    private val isClosed: () -> Boolean = { false },
) {
    /**
     * Whether the client no longer waits for an answer: it has closed the connection. A client that times out does so, and may
     * have sent the same request to another node since. That is noticed shortly after the request was read, not at once.
     */
    val isAbandoned: Boolean get() = isClosed()

    fun header(name: String): String? = headers?.get(name)?.toString()
}

/**
 * A response to an [HttpRequest], sent by [HttpServer] or received by [HttpClient].
 *
 * @property closeConnection whether the server closes the connection afterwards, so that the client opens a new one.
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray = EMPTY_BODY,
    val headers: List<Pair<String, String>> = emptyList(),
    val contentType: String = "application/json",
    val closeConnection: Boolean = false,
) {
    companion object {
        val EMPTY_BODY = ByteArray(0)
    }
}

/** Rejects a malformed or oversized message with the HTTP [status]. */
internal class HttpMessageException(
    val status: Int,
    message: String,
) : Exception(message)

/** Reads bodies with a Content-Length or chunked transfer encoding. */
internal object HttpBody {
    private const val HEX_RADIX = 16

    suspend fun read(
        input: ByteReadChannel,
        headers: HttpHeadersMap,
        maxBytes: Int,
    ): ByteArray {
        if (headers["Transfer-Encoding"]?.contains("chunked", ignoreCase = true) == true) return readChunks(input, maxBytes)
        val lengthHeader = headers["Content-Length"]?.toString() ?: return HttpResponse.EMPTY_BODY
        val length =
            lengthHeader.trim().toLongOrNull()?.takeIf { it >= 0 }
                ?: throw HttpMessageException(STATUS_BAD_REQUEST, "Content-Length is not a non-negative integer")
        if (length > maxBytes) throw HttpMessageException(STATUS_TOO_LARGE, "body of $length bytes exceeds the limit")
        return if (length == 0L) HttpResponse.EMPTY_BODY else input.readByteArray(length.toInt())
    }

    private suspend fun readChunks(
        input: ByteReadChannel,
        maxBytes: Int,
    ): ByteArray {
        val chunks = ArrayList<ByteArray>()
        var total = 0
        while (true) {
            val line = input.readUTF8Line() ?: throw HttpMessageException(STATUS_BAD_REQUEST, "chunked body is truncated")
            val size =
                line.substringBefore(';').trim().toIntOrNull(HEX_RADIX)
                    ?: throw HttpMessageException(STATUS_BAD_REQUEST, "chunk size is missing or not hexadecimal")
            if (size < 0 || size > maxBytes - total) throw HttpMessageException(STATUS_TOO_LARGE, "chunked body exceeds $maxBytes bytes")
            if (size > 0) chunks += input.readByteArray(size)
            total += size
            val lineEnd = input.readUTF8Line()
            if (size == 0 && lineEnd.isNullOrEmpty()) break
        }
        val joined = ByteArray(total)
        var offset = 0
        chunks.forEach {
            it.copyInto(joined, offset)
            offset += it.size
        }
        return joined
    }

    const val STATUS_BAD_REQUEST = 400
    const val STATUS_TOO_LARGE = 413
}
