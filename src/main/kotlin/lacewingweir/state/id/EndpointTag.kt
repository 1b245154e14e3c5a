package lacewingweir.state.id

import kotlinx.serialization.Serializable

/**
 * Identifies one run of an endpoint in messages between instances: a hash of its id and its start time.
 *
 * It is shorter than the id, because digests are sent from every instance to every other one. Two endpoints with the
 * same tag would be mistaken for each other in load figures, which costs time but no correctness: an engine refuses
 * requests for other weights than its own.
 */
@Serializable
@JvmInline
internal value class EndpointTag(
    val value: Int,
) {
    companion object {
        fun of(
            id: EndpointId,
            startedAtUnixMillis: Long,
        ): EndpointTag = EndpointTag(id.value.hashCode() * MULTIPLIER + startedAtUnixMillis.hashCode())

        /** Odd constant derived from the golden ratio that spreads similar start times. */
        private const val MULTIPLIER: Int = -0x61c88647
    }
}
