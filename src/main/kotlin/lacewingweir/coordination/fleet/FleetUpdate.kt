/** The content of a store item, independent of its encoding. */
package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.StreamTag
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.stream.StreamOrigin
import lacewingweir.state.versions.RolloutOrder
import lacewingweir.state.versions.RolloutStep

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

    /** An item of rollouts of software versions. */
    sealed interface VersionRolloutUpdate : FleetUpdate

    /** The operators have ordered a rollout of a software version. */
    data class VersionOrder(
        val order: RolloutOrder,
    ) : VersionRolloutUpdate

    /** The steps of all rollouts of software versions, and the versions that serve without an order, by service. */
    data class VersionSteps(
        val steps: List<RolloutStep>,
        val allowed: Map<ServiceName, Set<SoftwareVersion>> = emptyMap(),
    ) : VersionRolloutUpdate

    /** What the operators are told about the rollout of [target] on [service]. */
    data class VersionStatus(
        val service: ServiceName,
        val target: SoftwareVersion,
        val state: String,
    ) : VersionRolloutUpdate

    /** The item of steps can't be read, so the lease holder must write it again. */
    data class VersionStepsUnreadable(
        val reason: String,
    ) : VersionRolloutUpdate

    /** The item for the operators can't be read, so the lease holder must write it again. */
    data class VersionStatusUnreadable(
        val reason: String,
    ) : VersionRolloutUpdate

    /** An instance holds the lease for deciding on rollouts of software versions. */
    data object VersionRolloutLeader : VersionRolloutUpdate

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
