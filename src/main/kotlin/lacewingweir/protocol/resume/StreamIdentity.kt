/*
 * A resume token is sent to callers as the `id` of each event, and they return it as `Last-Event-ID`. It is
 * self-contained: any instance that has the fleet secret can check it and resume the stream at the next index.
 */
package lacewingweir.protocol.resume

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion
import java.security.MessageDigest
import java.util.Base64

/**
 * The parts of a stream's identity to which a resume token is bound.
 *
 * @param bodyDigest the SHA-256 digest of the request body as received
 */
public class StreamIdentity(
    public val customer: CustomerId,
    public val model: ModelName,
    public val weights: WeightsVersion,
    bodyDigest: ByteArray,
) {
    /** Truncated digests of the four parts. A token contains these instead of the parts themselves. */
    internal val fingerprints: List<String> =
        listOf(
            fingerprint("customer", customer.value.encodeToByteArray()),
            fingerprint("model", model.value.encodeToByteArray()),
            fingerprint("weights", weights.value.encodeToByteArray()),
            fingerprint("body", bodyDigest),
        )

    private companion object {
        const val FINGERPRINT_BYTES: Int = 12

        fun fingerprint(
            part: String,
            value: ByteArray,
        ): String {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update(part.encodeToByteArray())
            digest.update(0)
            val bytes = digest.digest(value).copyOf(FINGERPRINT_BYTES)
            return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
        }
    }
}
