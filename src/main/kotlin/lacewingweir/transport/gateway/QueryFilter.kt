package lacewingweir.transport.gateway

import java.net.URLDecoder

/** Removes the query parameters that may hold a caller's key and leaves all others byte for byte as they are. */
internal object QueryFilter {
    private val KEY_PARAMETERS = setOf("api_key", "key")
    private val PARAMETER = Regex("([&;]?)([^&;]*)")

    fun strip(query: String): String =
        PARAMETER
            .findAll(query)
            .filter { it.value.isNotEmpty() && !isKey(it.groupValues[2].substringBefore('=')) }
            .joinToString("") { it.value }
            .trimStart('&', ';')

    private fun isKey(name: String): Boolean = decoded(name).trim().lowercase() in KEY_PARAMETERS

    private fun decoded(name: String): String =
        try {
            URLDecoder.decode(name, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            name
        }
}
