package lacewingweir.transport.gateway

import io.netty.handler.codec.http.HttpHeaders
import lacewingweir.state.id.KeyDigest

/** An API key from a request. The key itself is never exposed outside of this class. */
internal class CallerKey private constructor(
    private val secret: String,
) {
    val digest: KeyDigest = KeyDigest.of(secret)

    /**
     * Returns whether [text] contains the key.
     *
     * Always returns false for a key of fewer than [MIN_SEARCHED_CHARS] characters, which may occur in ordinary text.
     */
    fun occursIn(text: String): Boolean = secret.length >= MIN_SEARCHED_CHARS && secret in text

    /** Returns whether [bytes] contain the key. */
    fun occursIn(bytes: ByteArray): Boolean = occursIn(String(bytes, Charsets.ISO_8859_1))

    override fun toString(): String = "CallerKey"

    /** The API keys of a request. */
    internal sealed interface Extracted {
        /** All distinct API keys of the request, none of which may be forwarded. */
        val keys: List<CallerKey>

        data object None : Extracted {
            override val keys: List<CallerKey> = emptyList()
        }

        /** The request has several different API keys, so that its customer is ambiguous. */
        class Ambiguous(
            override val keys: List<CallerKey>,
        ) : Extracted

        class Single(
            val key: CallerKey,
        ) : Extracted {
            override val keys: List<CallerKey> = listOf(key)
        }
    }

    internal companion object {
        private const val BEARER_PREFIX: String = "bearer "
        private const val MIN_SEARCHED_CHARS: Int = 12

        /** Returns the API keys in the headers `Authorization: Bearer` and `x-api-key`. */
        fun extract(headers: HttpHeaders): Extracted {
            val bearerTokens =
                headers
                    .getAll("Authorization")
                    .filter { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
                    .map { it.substring(BEARER_PREFIX.length).trim() }
            val distinctKeys =
                (
                    bearerTokens +
                        headers
                            .getAll(
                                "x-api-key",
                            ).map(String::trim)
                ).filter(String::isNotEmpty).distinct()
            return when (distinctKeys.size) {
                0 -> Extracted.None
                1 -> Extracted.Single(CallerKey(distinctKeys.single()))
                else -> Extracted.Ambiguous(distinctKeys.map(::CallerKey))
            }
        }
    }
}
