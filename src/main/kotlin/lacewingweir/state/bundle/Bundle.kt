package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.BundleNumber
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName

/**
 * The operators' configuration of one fleet: customers with keys and rates, routes, models and endpoints.
 *
 * A bundle is immutable. Operators publish a new one with the next [number]; instances adopt only higher numbers.
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
    /** The customer with this id, or null if the bundle has none. */
    public fun customer(id: CustomerId): Customer? = customers.firstOrNull { it.id == id }

    /** The model with this name, or null if the bundle has none. */
    public fun model(name: ModelName): Model? = models.firstOrNull { it.name == name }

    /** The endpoint with this id, or null if the bundle has none. */
    public fun endpoint(id: EndpointId): Endpoint? = endpoints.firstOrNull { it.id == id }
}
