package lacewingweir.coordination.claims

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A claim as it stands in the configuration store.
 *
 * [claimId] is unique to one attempt to claim. With [released] the call certainly was not run, and the next caller may
 * take the claim over; the key isn't deleted, so that a late first write can't bring the claim back.
 */
@Serializable
internal data class ClaimRecord(
    val claimId: String,
    val requestDigest: String,
    val released: Boolean = false,
    val outcome: CallOutcome? = null,
) {
    fun encode(): ByteArray = JSON.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** The record in [bytes], or null if they can't be read. */
        fun decode(bytes: ByteArray): ClaimRecord? =
            try {
                JSON.decodeFromString(serializer(), bytes.decodeToString())
            } catch (_: SerializationException) {
                null
            }
    }
}
