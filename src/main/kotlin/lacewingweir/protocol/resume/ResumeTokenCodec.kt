package lacewingweir.protocol.resume

import lacewingweir.state.id.RequestId
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Issues and checks resume tokens with the fleet's [secret].
 *
 * [wallClockMillis] is the time of day, since a token is checked on other instances than the one that issued it.
 */
public class ResumeTokenCodec(
    secret: ByteArray,
    private val lifetimeMillis: Long = DEFAULT_LIFETIME_MILLIS,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private val key = SecretKeySpec(derive(secret), ALGORITHM)
    private val macs: ThreadLocal<Mac> = ThreadLocal.withInitial { Mac.getInstance(ALGORITHM).apply { init(key) } }

    /** The token for [position] of the stream [identity]. */
    public fun issue(
        identity: StreamIdentity,
        position: StreamPosition,
    ): String {
        val expirySeconds = (wallClockMillis() + lifetimeMillis) / MILLIS_PER_SECOND
        val fields =
            listOf(
                VERSION,
                position.requestId.value,
                position.nextIndex.toString(),
                position.phase.ordinal.toString(),
                expirySeconds.toString(),
            ) + identity.fingerprints
        val payload = fields.joinToString(SEPARATOR)
        return payload + SEPARATOR + sign(payload)
    }

    /** Checks that [token] was issued by this fleet for the stream [identity]. Never throws. */
    public fun check(
        token: String,
        identity: StreamIdentity,
    ): ResumeTokenResult {
        if (token.length > MAX_TOKEN_CHARS || !hasValidSignature(token)) return ResumeTokenResult.Invalid
        val fields = token.split(SEPARATOR)
        val position = position(fields) ?: return ResumeTokenResult.Invalid
        val expirySeconds = fields[EXPIRY_FIELD].toLongOrNull() ?: return ResumeTokenResult.Invalid
        val differing = PARTS.indices.firstOrNull { fields[FIRST_PART_FIELD + it] != identity.fingerprints[it] }
        return when {
            differing != null -> ResumeTokenResult.Mismatch(PARTS[differing])
            wallClockMillis() / MILLIS_PER_SECOND > expirySeconds -> ResumeTokenResult.Expired
            else -> ResumeTokenResult.Valid(position)
        }
    }

    private fun hasValidSignature(token: String): Boolean {
        val payload = token.substringBeforeLast(SEPARATOR, "")
        val signature = token.substringAfterLast(SEPARATOR, "")
        return MessageDigest.isEqual(signature.encodeToByteArray(), sign(payload).encodeToByteArray())
    }

    private fun position(fields: List<String>): StreamPosition? {
        if (fields.size != FIELD_COUNT || fields[0] != VERSION) return null
        val index = fields[INDEX_FIELD].toLongOrNull()?.takeIf { it >= 0 }
        val phase = fields[PHASE_FIELD].toIntOrNull()?.let(StreamPosition.Phase.entries::getOrNull)
        if (index == null || phase == null) return null
        return StreamPosition(RequestId(fields[REQUEST_FIELD]), index, phase)
    }

    private fun sign(payload: String): String {
        val mac = macs.get().doFinal(payload.encodeToByteArray()).copyOf(MAC_BYTES)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(mac)
    }

    public companion object {
        /** How long a token can be used unless set otherwise. */
        public const val DEFAULT_LIFETIME_MILLIS: Long = 600_000

        private const val ALGORITHM: String = "HmacSHA256"
        private const val KEY_LABEL: String = "lacewingweir resume token"
        private const val VERSION: String = "1"
        private const val SEPARATOR: String = "."
        private const val MAX_TOKEN_CHARS: Int = 512
        private const val MAC_BYTES: Int = 24
        private const val MILLIS_PER_SECOND: Long = 1_000
        private const val REQUEST_FIELD: Int = 1
        private const val INDEX_FIELD: Int = 2
        private const val PHASE_FIELD: Int = 3
        private const val EXPIRY_FIELD: Int = 4
        private const val FIRST_PART_FIELD: Int = 5
        private const val FIELD_COUNT: Int = 10
        private val PARTS: List<String> = listOf("customer", "model", "weights version", "request body")

        // The fleet secret also authenticates peers; a key of its own keeps the two uses apart.
        private fun derive(secret: ByteArray): ByteArray {
            val mac = Mac.getInstance(ALGORITHM)
            mac.init(SecretKeySpec(secret, ALGORITHM))
            return mac.doFinal(KEY_LABEL.encodeToByteArray())
        }
    }
}
