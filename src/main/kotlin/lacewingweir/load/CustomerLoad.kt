package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * The traffic of one customer.
 *
 * @property key the key that authenticates the customer's requests.
 * @property stickiness the fraction of the requests that go to one instance at a time. The instances of the other
 *   requests are chosen by the weights of the scenario.
 * @property stickySeconds the interval after which that instance changes.
 */
@Serializable
public data class CustomerLoad(
    val name: String,
    val key: String,
    val streams: List<RequestStream>,
    val stickiness: Double = 0.0,
    val stickySeconds: Double = 20.0,
)
