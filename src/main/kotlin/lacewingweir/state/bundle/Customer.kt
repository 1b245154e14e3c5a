package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest

/**
 * A customer with its rate limit over the whole fleet.
 *
 * [tokensPerSecond] and [burstTokens] count prompt and completion tokens. [weight] is the customer's share in fair
 * queueing relative to other customers. [keys] holds digests only. Keys may also be granted and withdrawn outside the
 * bundle.
 */
@Serializable
public data class Customer(
    val id: CustomerId,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    val weight: Int = 1,
    val keys: List<KeyDigest> = emptyList(),
)
