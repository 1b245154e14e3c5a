/** What an item of the store says, apart from how the store spells it. */
package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

internal sealed interface FleetFact {
    class Config(
        val config: FleetConfig,
    ) : FleetFact

    /** The operators want [model] to run with these [weights]. */
    data class NamedWeights(
        val model: ModelName,
        val weights: WeightsNumber,
    ) : FleetFact

    data class Endpoint(
        val entry: EndpointEntry,
    ) : FleetFact

    data class Peer(
        val entry: PeerEntry,
    ) : FleetFact

    /** Customers that use most of their rate. */
    data class HotCustomers(
        val customers: Set<CustomerId>,
    ) : FleetFact

    /** The instance that coordinates the loading of weights holds a lease on this item. */
    data object RolloutLeader : FleetFact

    /** The item can't be read as what its key says. An endpoint of this item is not used; all else holds. */
    data class Unreadable(
        val reason: String,
    ) : FleetFact
}

/** Reads an item of the store; null for keys that mean nothing here. */
internal typealias FactDecoder = (key: String, value: ByteArray) -> FleetFact?
