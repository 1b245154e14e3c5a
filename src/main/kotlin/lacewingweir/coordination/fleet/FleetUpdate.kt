/** What an item of the store says, apart from how the store spells it. */
package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

internal sealed interface FleetUpdate {
    class Config(
        val config: FleetConfig,
    ) : FleetUpdate

    /** The operators want [model] to run with these [weights]. */
    data class TargetWeights(
        val model: ModelName,
        val weights: WeightsNumber,
    ) : FleetUpdate

    data class Endpoint(
        val entry: EndpointEntry,
    ) : FleetUpdate

    data class Peer(
        val entry: PeerEntry,
    ) : FleetUpdate

    /** Customers that use most of their rate. */
    data class HotCustomers(
        val customers: Set<CustomerId>,
    ) : FleetUpdate

    /** The instance that coordinates the loading of weights holds a lease on this item. */
    data object RolloutLeader : FleetUpdate

    /** The item can't be read as what its key says. An endpoint of this item is not used; all else holds. */
    data class Unreadable(
        val reason: String,
    ) : FleetUpdate
}

/** Reads an item of the store; null for keys that mean nothing here. */
internal typealias FleetUpdateDecoder = (key: String, value: ByteArray) -> FleetUpdate?
