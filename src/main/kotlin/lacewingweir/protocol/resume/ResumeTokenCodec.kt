package lacewingweir.protocol.resume

import lacewingweir.state.id.RequestId
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Issues and checks resume tokens.
 *
 * @param secret the shared secret of the fleet
 * @param lifetimeMillis how long a token is valid
 * @param wallClockMillis returns the Unix time. A monotonic clock can't be used, because a token can be checked by an
 *   instance other than its issuer
 */
public class ResumeTokenCodec(
    secret: ByteArray,
    private val lifetimeMillis: Long = DEFAULT_LIFETIME_MILLIS,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private val key = SecretKeySpec(deriveKey(secret), ALGORITHM)
    private val macs: ThreadLocal<Mac> = ThreadLocal.withInitial { Mac.getInstance(ALGORITHM).apply { init(key) } }

    /** Returns a token for [position] in the stream with [identity]. */
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

    /** Checks that [token] was issued by this fleet for the stream with [identity] and is unexpired. Never throws. */
    public fun check(
        token: String,
        identity: StreamIdentity,
    ): ResumeTokenResult {
        if (token.length > MAX_TOKEN_CHARS || !hasValidSignature(token)) return ResumeTokenResult.Invalid
        val fields = token.split(SEPARATOR)
        val position = parsePosition(fields) ?: return ResumeTokenResult.Invalid
        val expirySeconds = fields[EXPIRY_FIELD].toLongOrNull() ?: return ResumeTokenResult.Invalid
        val mismatch =
            PART_NAMES.indices.firstOrNull { fields[FIRST_FINGERPRINT_FIELD + it] != identity.fingerprints[it] }
        return when {
            mismatch != null -> ResumeTokenResult.Mismatch(PART_NAMES[mismatch])
            wallClockMillis() / MILLIS_PER_SECOND > expirySeconds -> ResumeTokenResult.Expired
            else -> ResumeTokenResult.Valid(position)
        }
    }

    private fun hasValidSignature(token: String): Boolean {
        val payload = token.substringBeforeLast(SEPARATOR, "")
        val signature = token.substringAfterLast(SEPARATOR, "")
        return MessageDigest.isEqual(signature.encodeToByteArray(), sign(payload).encodeToByteArray())
    }

    private fun parsePosition(fields: List<String>): StreamPosition? {
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
        /** The default lifetime of a token. */
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
        private const val FIRST_FINGERPRINT_FIELD: Int = 5
        private const val FIELD_COUNT: Int = 10
        private val PART_NAMES: List<String> = listOf("customer", "model", "weights version", "request body")

        // Derives a separate key, because the fleet secret also authenticates peers.
        private fun deriveKey(secret: ByteArray): ByteArray {
            val mac = Mac.getInstance(ALGORITHM)
            mac.init(SecretKeySpec(secret, ALGORITHM))
            return mac.doFinal(KEY_LABEL.encodeToByteArray())
        }
    }
}
