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

/**
 * Reads bodies with a Content-Length or chunked transfer encoding, as RFC 9112 defines them. A message is refused if it leaves any
 * doubt about where its body ends: the rest would be read as another message, or part of a body be taken for all of it.
 */
internal object HttpBody {
    private const val HEX_RADIX = 16

    /** Longest line of a chunk size with its extensions, or of a trailer. */
    private const val MAX_LINE_BYTES = 16_384
    private const val MAX_TRAILERS = 100

    suspend fun read(
        input: ByteReadChannel,
        headers: HttpHeadersMap,
        maxBytes: Int,
    ): ByteArray {
        val codings = values(headers, "Transfer-Encoding")
        val lengths = values(headers, "Content-Length").distinct()
        if (codings.isEmpty()) return if (lengths.isEmpty()) HttpResponse.EMPTY_BODY else readBytes(input, lengths, maxBytes)
        if (lengths.isNotEmpty()) malformed("both Content-Length and Transfer-Encoding")
        if (!codings.singleOrNull().equals("chunked", ignoreCase = true)) malformed("the transfer coding is not chunked alone")
        return readChunks(input, maxBytes)
    }

    private fun values(
        headers: HttpHeadersMap,
        name: String,
    ): List<String> =
        headers
            .getAll(name)
            .flatMap { it.split(',') }
            .map { it.trim() }
            .toList()

    private suspend fun readBytes(
        input: ByteReadChannel,
        lengths: List<String>,
        maxBytes: Int,
    ): ByteArray {
        val text = lengths.singleOrNull() ?: malformed("several lengths")
        val length = text.takeIf { it.all { c -> c in '0'..'9' } }?.toLongOrNull() ?: malformed("Content-Length is not a number of digits")
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
            val size = chunkSize(readLine(input))
            if (size == 0) break
            if (size > maxBytes - total) throw HttpMessageException(STATUS_TOO_LARGE, "chunked body exceeds $maxBytes bytes")
            chunks += input.readByteArray(size)
            total += size
            if (readLine(input).isNotEmpty()) malformed("a chunk is longer than its size")
        }
        skipTrailers(input)
        return join(chunks, total)
    }

    /** Sizes that an Int can't hold count as the largest one. */
    private fun chunkSize(line: String): Int {
        val digits = line.substringBefore(';').trimEnd()
        if (digits.isEmpty() || !digits.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }) {
            malformed("chunk size is missing or not hexadecimal")
        }
        return digits.toIntOrNull(HEX_RADIX) ?: Int.MAX_VALUE
    }

    private suspend fun skipTrailers(input: ByteReadChannel) {
        repeat(MAX_TRAILERS) { if (readLine(input).isEmpty()) return }
        malformed("more than $MAX_TRAILERS trailers")
    }

    private suspend fun readLine(input: ByteReadChannel): String =
        input.readUTF8Line(MAX_LINE_BYTES) ?: malformed("chunked body is truncated")

    private fun join(
        chunks: List<ByteArray>,
        total: Int,
    ): ByteArray {
        val joined = ByteArray(total)
        var offset = 0
        chunks.forEach {
            it.copyInto(joined, offset)
            offset += it.size
        }
        return joined
    }

    private fun malformed(problem: String): Nothing = throw HttpMessageException(STATUS_BAD_REQUEST, problem)

    const val STATUS_BAD_REQUEST = 400
    const val STATUS_TOO_LARGE = 413
}
