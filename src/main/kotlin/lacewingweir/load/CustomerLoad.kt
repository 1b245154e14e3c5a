package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * One customer's traffic: [key] is the key that its callers show. [stickiness] is the share of its requests that go to
 * one instance, which changes every [stickySeconds]; the rest follows the scenario's weights.
 */
@Serializable
public data class CustomerLoad(
    val name: String,
    val key: String,
    val streams: List<RequestStream>,
    val stickiness: Double = 0.0,
    val stickySeconds: Double = 20.0,
)
