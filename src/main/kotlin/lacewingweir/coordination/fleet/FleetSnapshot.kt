package lacewingweir.coordination.fleet

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EngineSpec
import lacewingweir.state.fleet.FleetConfig
import lacewingweir.state.fleet.PeerEntry
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.WeightsNumber
import lacewingweir.state.time.Moment

/**
 * The newest [weights] that the operators named, and when this instance learned of each number, in ascending order.
 */
internal data class WeightsTarget(
    val weights: WeightsNumber,
    val learned: List<Pair<WeightsNumber, Moment>>,
) {
    /** When an engine with [running] became outdated; null if it is not. */
    fun outdatedSince(running: WeightsNumber?): Moment? =
        learned.firstOrNull { (number) -> number > (running ?: FIRST) }?.second

    /** This target with a newly named number. */
    fun next(
        number: WeightsNumber,
        at: Moment,
    ) = WeightsTarget(number, (learned + (number to at)).takeLast(MAX_REMEMBERED))

    companion object {
        /** Weights of an engine that never loaded any others. */
        private val FIRST = WeightsNumber(1)

        /** More numbers than are named within the time for which an engine may stay outdated. */
        private const val MAX_REMEMBERED = 64
    }
}

/** All that is believed of the fleet, as one immutable value. [config] is null until the first one was read. */
internal class FleetSnapshot(
    val config: FleetConfig?,
    val weights: Map<ModelName, WeightsTarget>,
    val endpoints: Map<EndpointId, EndpointEntry>,
    val peers: Map<String, PeerEntry>,
    val rolloutLeaderPresent: Boolean,
    val hotCustomers: Set<CustomerId>,
) {
    private val byService: Map<ServiceName, List<EndpointEntry>> = endpoints.values.groupBy { it.service }

    /** What the configuration says of the engines of [service]; null for plain and unknown services. */
    fun engineSpec(service: ServiceName): EngineSpec? = config?.services?.get(service)?.engine

    /** Endpoints of [service] that take new requests. */
    fun usable(service: ServiceName): List<EndpointEntry> = byService[service].orEmpty().filterNot { it.leaving }
}
