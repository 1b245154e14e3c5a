package lacewingweir.state.id

import java.security.MessageDigest
import java.util.Base64

/**
 * Identifies a request by what a repeat of it has in common with it: its sender, method, target and body.
 *
 * Headers are not included, since ids, deadlines and the position in a stream differ in each attempt.
 */
@JvmInline
internal value class RequestFingerprint(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        /** 128 bits, so that no two requests are mistaken for each other. */
        private const val BYTES = 16

        /**
         * Returns the fingerprint of a request.
         *
         * [sender] identifies the customer, so that no customer can affect requests of another one. It stays the same
         * when the customer's keys change, and is null if the request needs no key.
         */
        fun of(
            sender: CustomerId?,
            method: String,
            host: String,
            target: String,
            body: ByteArray,
        ): RequestFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            for (field in listOf(sender?.value.orEmpty(), method, host, target)) {
                digest.update(field.encodeToByteArray())
                // Ends each field, so that no two lists of fields have the same bytes.
                digest.update(0)
            }
            val bytes = digest.digest(body).copyOf(BYTES)
            return RequestFingerprint(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes))
        }
    }
}
