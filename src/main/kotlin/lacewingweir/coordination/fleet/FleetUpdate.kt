/** The content of a store item, independent of its encoding. */
package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.StreamTag
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.stream.StreamOrigin

internal sealed interface FleetUpdate {
    class Config(
        val config: FleetConfig,
    ) : FleetUpdate

    /** The operators have set [weights] as the target weights of [model]. */
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

    /** Customers that use most of their rate limit. */
    data class HotCustomers(
        val customers: Set<CustomerId>,
    ) : FleetUpdate

    /** Prompt parts and requests that instances have blocked because they crash endpoints. */
    data class BlockList(
        val ids: Set<SuspectId>,
    ) : FleetUpdate

    /** When target weights were set, as instances have observed it. */
    data class TargetMoments(
        val moments: List<TargetMoment>,
    ) : FleetUpdate

    /** The software versions that served lately, for instances that have not seen them. */
    data class ServedVersions(
        val versions: Set<ServedVersion>,
    ) : FleetUpdate

    /** Streams that began lately, while their service had several software versions. */
    class BegunStreams(
        val streams: Map<StreamOrigin, List<StreamTag>>,
    ) : FleetUpdate

    /** An instance holds the lease for coordinating the loading of weights. */
    data object RolloutLeader : FleetUpdate

    /**
     * The value can't be decoded as the type that its key requires.
     *
     * An endpoint with this key is removed; anything else keeps its previous value.
     */
    data class Unreadable(
        val reason: String,
    ) : FleetUpdate
}

/** Decodes a store item. Returns null for keys that are not used here. */
internal typealias FleetUpdateDecoder = (key: String, value: ByteArray) -> FleetUpdate?
