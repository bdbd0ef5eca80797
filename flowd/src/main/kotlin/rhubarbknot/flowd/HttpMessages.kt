package rhubarbknot.flowd

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readUTF8Line

/** A request that was read whole. */
class HttpRequest(
    val method: String,
    val path: String,
    val body: ByteArray,
    private val headers: HttpHeadersMap?,
) {
    fun header(name: String): String? = headers?.get(name)?.toString()
}

/**
 * An answer to an [HttpRequest], or what a server answered.
 *
 * @property contentType type of the body.
 * @property closes whether the connection is to be closed after it, so that the client comes back on another one.
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray = NOTHING,
    val headers: List<Pair<String, String>> = emptyList(),
    val contentType: String = "application/json",
    val closes: Boolean = false,
) {
    companion object {
        val NOTHING = ByteArray(0)
    }
}

/** The message can't be taken; [status] says why. */
internal class HttpMessageException(
    val status: Int,
    message: String,
) : Exception(message)

/** Reads bodies by length or in chunks. */
internal object HttpBody {
    private const val HEXADECIMAL = 16

    suspend fun read(
        input: ByteReadChannel,
        headers: HttpHeadersMap,
        maxBytes: Int,
    ): ByteArray {
        if (headers["Transfer-Encoding"]?.contains("chunked", ignoreCase = true) == true) return readChunks(input, maxBytes)
        val text = headers["Content-Length"]?.toString() ?: return HttpResponse.NOTHING
        val length =
            text.trim().toLongOrNull()?.takeIf { it >= 0 } ?: throw HttpMessageException(STATUS_BAD_REQUEST, "Content-Length is no number")
        if (length > maxBytes) throw HttpMessageException(STATUS_TOO_LARGE, "body of $length bytes")
        return if (length == 0L) HttpResponse.NOTHING else input.readByteArray(length.toInt())
    }

    private suspend fun readChunks(
        input: ByteReadChannel,
        maxBytes: Int,
    ): ByteArray {
        val parts = ArrayList<ByteArray>()
        var total = 0
        while (true) {
            val line = input.readUTF8Line() ?: throw HttpMessageException(STATUS_BAD_REQUEST, "body cut short")
            val size =
                line.substringBefore(';').trim().toIntOrNull(HEXADECIMAL)
                    ?: throw HttpMessageException(STATUS_BAD_REQUEST, "chunk without a size")
            if (size < 0 || size > maxBytes - total) throw HttpMessageException(STATUS_TOO_LARGE, "body over $maxBytes bytes")
            if (size > 0) parts += input.readByteArray(size)
            total += size
            val end = input.readUTF8Line()
            if (size == 0 && end.isNullOrEmpty()) break
        }
        val whole = ByteArray(total)
        var at = 0
        parts.forEach {
            it.copyInto(whole, at)
            at += it.size
        }
        return whole
    }

    const val STATUS_BAD_REQUEST = 400
    const val STATUS_TOO_LARGE = 413
}
