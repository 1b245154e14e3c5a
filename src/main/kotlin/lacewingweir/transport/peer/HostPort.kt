package lacewingweir.transport.peer

/** The host and port of the listener of a peer. */
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`. Returns `null` if [text] has no host or no valid port. */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else HostPort(host, port)
        }
    }
}
