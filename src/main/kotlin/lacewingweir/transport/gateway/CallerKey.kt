package lacewingweir.transport.gateway

import io.netty.handler.codec.http.HttpHeaders
import lacewingweir.state.id.KeyDigest

/** The key that a caller showed. The key itself stays inside this class. */
internal class CallerKey private constructor(
    private val secret: String,
) {
    val digest: KeyDigest = KeyDigest.of(secret)

    /** Whether [text] holds the key. Keys too short to be told from ordinary text are not looked for. */
    fun occursIn(text: String): Boolean = secret.length >= MIN_SEARCHED_CHARS && secret in text

    /** Whether [bytes] hold the key. */
    fun occursIn(bytes: ByteArray): Boolean = occursIn(String(bytes, Charsets.ISO_8859_1))

    override fun toString(): String = "CallerKey"

    internal sealed interface Found {
        /** All keys that were shown, to keep them out of what is sent on. */
        val keys: List<CallerKey>

        data object None : Found {
            override val keys: List<CallerKey> = emptyList()
        }

        /** Several different keys were shown, so it is not clear which customer the request is for. */
        class Ambiguous(
            override val keys: List<CallerKey>,
        ) : Found

        class One(
            val key: CallerKey,
        ) : Found {
            override val keys: List<CallerKey> = listOf(key)
        }
    }

    internal companion object {
        private const val BEARER: String = "bearer "
        private const val MIN_SEARCHED_CHARS: Int = 12

        /** Takes the key from `Authorization: Bearer` or `x-api-key`. */
        fun find(headers: HttpHeaders): Found {
            val bearer =
                headers
                    .getAll("Authorization")
                    .filter { it.startsWith(BEARER, ignoreCase = true) }
                    .map { it.substring(BEARER.length).trim() }
            val shown = (bearer + headers.getAll("x-api-key").map(String::trim)).filter(String::isNotEmpty).distinct()
            return when (shown.size) {
                0 -> Found.None
                1 -> Found.One(CallerKey(shown.single()))
                else -> Found.Ambiguous(shown.map(::CallerKey))
            }
        }
    }
}
