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
)
