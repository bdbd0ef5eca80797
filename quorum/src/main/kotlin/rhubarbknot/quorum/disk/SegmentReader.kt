package rhubarbknot.quorum.disk

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.util.zip.CRC32C

/** Reads the batches of a log segment through a small window, so that the memory it needs does not depend on the file. */
internal class SegmentReader(
    private val channel: FileChannel,
) {
    val size: Long = channel.size()
    private val window = ByteBuffer.allocate(WINDOW_BYTES).limit(0)
    private var windowStart = 0L

    /** The big-endian integer at [offset], which must lie in the file. */
    fun intAt(offset: Long): Int {
        moveWindow(offset, Int.SIZE_BYTES)
        return window.getInt((offset - windowStart).toInt())
    }

    /** The body of the batch at [offset], or null if there is no valid batch. */
    fun bodyAt(offset: Long): ByteArray? {
        val length = bodyLengthAt(offset)
        if (length == 0 || checksumAt(offset + BATCH_HEADER_BYTES, length) != intAt(offset + Int.SIZE_BYTES)) return null
        val body = ByteBuffer.allocate(length)
        while (body.hasRemaining() && channel.read(body, offset + BATCH_HEADER_BYTES + body.position()) > 0) Unit
        return body.array()
    }

    /** Whether at least [count] valid batches start at any offset from [from] on. */
    fun hasValidBatches(
        from: Long,
        count: Int,
    ): Boolean {
        var found = 0
        for (offset in from..size - BATCH_HEADER_BYTES) {
            val length = bodyLengthAt(offset)
            if (length > 0 && checksumAt(offset + BATCH_HEADER_BYTES, length) == intAt(offset + Int.SIZE_BYTES)) found++
            if (found >= count) return true
        }
        return false
    }

    /** Length of the body of a batch at [offset] if it fits into the file, otherwise 0. */
    private fun bodyLengthAt(offset: Long): Int {
        if (size - offset < BATCH_HEADER_BYTES) return 0
        return intAt(offset).takeIf { it > 0 && it <= size - offset - BATCH_HEADER_BYTES } ?: 0
    }

    private fun checksumAt(
        offset: Long,
        length: Int,
    ): Int {
        val checksum = CRC32C()
        var position = offset
        while (position < offset + length) {
            moveWindow(position, 1)
            val start = (position - windowStart).toInt()
            val count = minOf(window.limit() - start, (offset + length - position).toInt())
            checksum.update(window.array(), start, count)
            position += count
        }
        return checksum.value.toInt()
    }

    /** Makes [count] bytes from [offset] on part of the window. */
    private fun moveWindow(
        offset: Long,
        count: Int,
    ) {
        if (offset >= windowStart && offset + count <= windowStart + window.limit()) return
        window.clear()
        windowStart = offset
        while (window.hasRemaining() && channel.read(window, windowStart + window.position()) > 0) Unit
        window.flip()
    }

    companion object {
        /** Length and checksum before the body of each batch. */
        const val BATCH_HEADER_BYTES = 8
        private const val WINDOW_BYTES = 64 * 1024
    }
}
