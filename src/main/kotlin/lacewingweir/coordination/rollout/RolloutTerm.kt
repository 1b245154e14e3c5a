package lacewingweir.coordination.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The record of the rollout leadership in the configuration store.
 *
 * [term] is unique to one leadership of one process, and [fencingToken] grows with each leadership. [renewal] counts
 * the renewals, each of which changes the revision of the key. If [resigned] is true, the next leader doesn't have to
 * wait for the leadership to expire.
 */
@Serializable
internal data class RolloutTerm(
    val holder: String,
    val term: String,
    @SerialName("fencing")
    val fencingToken: Long,
    val renewal: Long = 0,
    val resigned: Boolean = false,
) {
    fun encode(): ByteArray = JSON.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** @throws SerializationException if [bytes] can't be read */
        fun decode(bytes: ByteArray): RolloutTerm = JSON.decodeFromString(serializer(), bytes.decodeToString())
    }
}
