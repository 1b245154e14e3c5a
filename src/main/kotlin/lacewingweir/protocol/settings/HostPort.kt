package lacewingweir.protocol.settings

import lacewingweir.protocol.json.TextRule

/** An IP address and a port. */
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    public companion object {
        /**
         * Parses `address:port`, with an IPv6 address in brackets.
         *
         * Returns null if [text] is malformed or has a host name instead of an IP address.
         */
        public fun parse(text: String): HostPort? =
            TextRule.splitHostPort(text)?.let { (host, port) -> HostPort(host, port) }
    }
}
