package lacewingweir.transport.gateway

import java.net.URLDecoder

/** Removes the query parameters that may contain an API key and leaves all others unchanged byte for byte. */
internal object QueryKeyFilter {
    private val KEY_PARAMETER_NAMES = setOf("api_key", "key")
    private val PARAMETER = Regex("([&;]?)([^&;]*)")

    fun removeKeys(query: String): String =
        PARAMETER
            .findAll(query)
            .filter { it.value.isNotEmpty() && !isKeyParameter(it.groupValues[2].substringBefore('=')) }
            .joinToString("") { it.value }
            .trimStart('&', ';')

    private fun isKeyParameter(name: String): Boolean = decoded(name).trim().lowercase() in KEY_PARAMETER_NAMES

    private fun decoded(name: String): String =
        try {
            URLDecoder.decode(name, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            name
        }
}
