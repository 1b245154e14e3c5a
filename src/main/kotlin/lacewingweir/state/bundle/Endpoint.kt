package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName

/**
 * A model engine or plain service that requests are routed to.
 *
 * [host] is an IP address. [models] lists what an engine may serve and is empty for a service. [checksFencing] tells
 * whether the endpoint refuses orders with an old fencing number. [slots] is the number of requests that an engine
 * works on at once.
 */
@Serializable
public data class Endpoint(
    val id: EndpointId,
    val kind: EndpointKind,
    val host: String,
    val port: Int,
    val failureDomain: FailureDomain,
    val models: List<ModelName> = emptyList(),
    val checksFencing: Boolean = true,
    val slots: Int = 32,
)
