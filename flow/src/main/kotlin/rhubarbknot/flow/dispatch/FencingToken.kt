package rhubarbknot.flow.dispatch

/**
 * Numbers that order the calls to workers: by the leader's term and, within it, by the incarnation that is called. A worker does
 * nothing for a lower number than the highest that it has seen, so it refuses the calls of earlier leaders, and those that were meant
 * for its own earlier incarnations, which name the same id.
 */
object FencingToken {
    private const val SERIAL_BITS = 20

    /** The token for calls to the incarnation that is the [serial]th one known to the leader of [term]. */
    fun of(
        term: Long,
        serial: Int,
    ): Long {
        check(serial < 1 shl SERIAL_BITS) { "more than ${1 shl SERIAL_BITS} incarnations of workers in term $term" }
        return (term shl SERIAL_BITS) + serial
    }

    /** The term of the leader that uses [token]. */
    fun termOf(token: Long): Long = token shr SERIAL_BITS
}
