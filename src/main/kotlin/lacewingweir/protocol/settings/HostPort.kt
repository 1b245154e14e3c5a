package lacewingweir.protocol.settings

/** An IP address and a port. */
public data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"
}
