package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.fleet.TargetMoment
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion
import lacewingweir.state.id.SuspectId
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.stream.ServedVersion
import lacewingweir.state.time.ClockReading
import lacewingweir.state.versions.OrderId
import lacewingweir.state.versions.RolloutOrder
import lacewingweir.state.versions.RolloutStep

/**
 * The current target [weights] of a model, and the [dates] from which this and earlier targets count, in ascending
 * order of their numbers.
 */
internal data class WeightsTarget(
    val weights: WeightsNumber,
    val dates: List<Pair<WeightsNumber, ClockReading>>,
) {
    /**
     * Returns when an engine with [running] weights became outdated, or null if it is not.
     *
     * This is when the first target newer than [running] was set, not the newest target. Otherwise an engine could
     * serve outdated weights without a time limit while targets change in quick succession.
     */
    fun outdatedSince(running: WeightsNumber?): ClockReading? =
        dates.firstOrNull { (number) -> number > (running ?: INITIAL_WEIGHTS) }?.second

    companion object {
        /** Weights of an engine that has not loaded any weights since it started. */
        private val INITIAL_WEIGHTS = WeightsNumber(1)
    }
}

/**
 * The prompt parts and requests that are blocked according to the store.
 *
 * [revision] is that of their item, or zero if there is none. [removals] counts how often the item was removed, which
 * operators do to unblock them. An item that is missing from a listing doesn't count, since the store may have
 * lost it.
 */
internal data class StoredBlockList(
    val ids: Set<SuspectId> = emptySet(),
    val revision: Long = 0,
    val removals: Int = 0,
)

/** The moments of targets according to the store. [revision] is that of their item, or zero if there is none. */
internal data class StoredTargetMoments(
    val moments: List<TargetMoment> = emptyList(),
    val revision: Long = 0,
)

/** The software versions that served lately according to the store. [revision] is that of their item, or zero. */
internal data class StoredVersions(
    val versions: Set<ServedVersion> = emptySet(),
    val revision: Long = 0,
)

/** An order of the operators and the revision of its item without the store's era. */
internal data class StoredOrder(
    val order: RolloutOrder,
    val revision: Long,
) {
    val id: OrderId
        get() = OrderId(revision, order.target, order.durationMillis)
}

/**
 * The rollouts of software versions according to the store.
 *
 * [revision] is that of the item with [steps] and [allowed], or zero if there is none. They are the last ones that were
 * read if the item isn't [readable]. [allowed] are the versions that serve without an order. [statuses] is what
 * operators are told.
 */
internal data class StoredRollouts(
    val orders: Map<ServiceName, StoredOrder> = emptyMap(),
    val steps: Map<ServiceName, RolloutStep> = emptyMap(),
    val statuses: Map<ServiceName, FleetUpdate.VersionStatus> = emptyMap(),
    val allowed: Map<ServiceName, Set<SoftwareVersion>> = emptyMap(),
    val revision: Long = 0,
    val leaderPresent: Boolean = false,
    val readable: Boolean = true,
)

/**
 * An immutable snapshot of the state of the fleet. [config] is null until the first configuration was read.
 *
 * [passedEndpoints] are those that were written and replaced or removed since the previous snapshot. What came and went
 * between two [listings] that follow each other is not known.
 */
internal class FleetSnapshot(
    val config: FleetConfig?,
    val weights: Map<ModelName, WeightsTarget>,
    val endpoints: Map<EndpointId, EndpointEntry>,
    val peers: Map<String, PeerEntry>,
    val rolloutLeaderPresent: Boolean,
    val hotCustomers: Set<CustomerId>,
    val blockList: StoredBlockList = StoredBlockList(),
    val targetMoments: StoredTargetMoments = StoredTargetMoments(),
    val servedVersions: StoredVersions = StoredVersions(),
    val passedEndpoints: List<EndpointEntry> = emptyList(),
    val listings: Int = 0,
    val rollouts: StoredRollouts = StoredRollouts(),
) {
    private val byService: Map<ServiceName, List<EndpointEntry>> = endpoints.values.groupBy { it.service }

    /** Returns the configured limits of the engines of [service], or null if it is unknown or has no engines. */
    fun engineSpec(service: ServiceName): EngineSpec? = config?.services?.get(service)?.engine

    /** Returns the endpoints of [service] that accept new requests. */
    fun usable(service: ServiceName): List<EndpointEntry> = byService[service].orEmpty().filterNot { it.leaving }
}
