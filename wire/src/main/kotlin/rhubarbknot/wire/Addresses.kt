package rhubarbknot.wire

/** Parses `host:port` addresses from settings, such as `127.0.0.1:7001`. */
object Addresses {
    /** Returns the host and port of [address], or null if the host is empty or the port is missing or out of range. */
    fun parse(address: String): HostPort? {
        val host = address.substringBeforeLast(':', "")
        val port = address.substringAfterLast(':').toIntOrNull() ?: return null
        return if (host.isEmpty() || port !in 1..65_535) null else HostPort(host, port)
    }

    /** @throws IllegalArgumentException if [address] is not a valid `host:port` address. */
    fun split(address: String): HostPort =
        requireNotNull(parse(address)) { "\"$address\" is not a valid host:port address such as 127.0.0.1:7001" }
}

/** A host name or IP address with a port. */
data class HostPort(
    val host: String,
    val port: Int,
) {
    /** Whether [host] is an IPv4 address in dotted decimal notation, so that it needs no lookup. */
    val isIpv4: Boolean get() = host.split('.').let { parts -> parts.size == IPV4_PARTS && parts.all { isIpv4Part(it) } }

    private fun isIpv4Part(text: String): Boolean = text.length in 1..3 && text.all { it in '0'..'9' } && text.toInt() <= MAX_IPV4_PART

    private companion object {
        const val IPV4_PARTS = 4
        const val MAX_IPV4_PART = 255
    }
}
