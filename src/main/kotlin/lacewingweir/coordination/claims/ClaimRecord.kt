package lacewingweir.coordination.claims

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A claim as stored in the configuration store.
 *
 * [claimId] is unique to one call of [ClaimRegister.acquire]. If [released] is set, the call is known not to have run,
 * and the next caller may acquire the claim. A released claim stays in the store as a tombstone, because a delayed
 * write that expects an absent key would otherwise create the claim again.
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

        /** Returns the record encoded in [bytes], or null if they are malformed. */
        fun decode(bytes: ByteArray): ClaimRecord? =
            try {
                JSON.decodeFromString(serializer(), bytes.decodeToString())
            } catch (_: SerializationException) {
                null
            }
    }
}
