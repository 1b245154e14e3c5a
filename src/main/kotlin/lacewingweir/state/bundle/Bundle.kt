package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName

/**
 * The configuration of one fleet: customers with keys and rate limits, models, endpoints and routes.
 *
 * A bundle is immutable. Operators publish changes as a new bundle with the next [number]. Instances adopt only bundles
 * with a higher number than the one in force.
 */
@Serializable
public data class Bundle(
    val number: BundleNumber,
    val customers: List<Customer>,
    val models: List<Model>,
    val endpoints: List<Endpoint>,
    val routes: List<Route>,
    val rollout: RolloutLimits = RolloutLimits(),
) {
    /** Returns the customer with this id, or null if the bundle has none. */
    public fun customer(id: CustomerId): Customer? = customers.firstOrNull { it.id == id }

    /** Returns the model with this name, or null if the bundle has none. */
    public fun model(name: ModelName): Model? = models.firstOrNull { it.name == name }

    /** Returns the endpoint with this id, or null if the bundle has none. */
    public fun endpoint(id: EndpointId): Endpoint? = endpoints.firstOrNull { it.id == id }
}
