package lacewingweir.protocol.json

import io.netty.util.NetUtil

/** A rule for the value of a text field. [allowed] describes the accepted texts in error messages. */
internal class TextRule(
    val allowed: String,
    val accepts: (String) -> Boolean,
) {
    companion object {
        private const val MAX_PORT: Int = 65_535

        private val id = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
        private val modelName = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
        private val digest = Regex("[0-9a-f]{64}")
        private val pathSegment = Regex("[A-Za-z0-9_~-][A-Za-z0-9._~-]*")

        val ID: TextRule =
            TextRule("1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", id::matches)

        val MODEL_NAME: TextRule =
            TextRule("1 to 128 letters, digits or '._:/-', starting with a letter or digit", modelName::matches)

        val DIGEST: TextRule = TextRule("64 lower-case hexadecimal digits (SHA-256 of the key)", digest::matches)

        val ROUTE_PATH: TextRule =
            TextRule("segments of letters, digits or '._~-' joined by '/', without a leading or trailing '/'") { text ->
                text.split('/').all(pathSegment::matches)
            }

        val IP_ADDRESS: TextRule =
            TextRule("an IPv4 or IPv6 address, not a host name") {
                NetUtil.isValidIpV4Address(it) || (NetUtil.isValidIpV6Address(it) && '[' !in it && '%' !in it)
            }

        val HOST_PORT: TextRule =
            TextRule("<IP address>:<port 1 to 65535>, an IPv6 address in brackets") { splitHostPort(it) != null }

        val FILE_PATH: TextRule = TextRule("a file path") { it.isNotBlank() && '\u0000' !in it }

        /** Splits `address:port` into address and port. Returns null if either part is malformed. */
        fun splitHostPort(text: String): Pair<String, Int>? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).takeIf { p -> p.all { it in '0'..'9' } }?.toIntOrNull()
            val host = text.substring(0, colon)
            val address = if (host.startsWith("[") && host.endsWith("]")) host.substring(1, host.length - 1) else host
            val bracketsMatch = (address != host) == (':' in address)
            val valid = port != null && port in 1..MAX_PORT && bracketsMatch && IP_ADDRESS.accepts(address)
            return if (valid) address to checkNotNull(port) else null
        }
    }
}
