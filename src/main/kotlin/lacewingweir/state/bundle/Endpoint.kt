package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName

/**
 * A model engine or plain service that requests are routed to.
 *
 * [host] is an IP address. [models] lists the models that an engine may serve and is empty for a service.
 * [checksFencing] is true if the endpoint rejects commands with an outdated fencing token. [slots] is the number of
 * requests that an engine processes concurrently.
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
