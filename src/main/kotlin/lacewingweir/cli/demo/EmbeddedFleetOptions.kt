package lacewingweir.cli.demo

import lacewingweir.standin.engine.StandinEngineOptions
import lacewingweir.standin.service.StandinServiceOptions
import lacewingweir.state.bundle.Customer
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.placement.PlacementPolicy
import lacewingweir.state.placement.prefixAwarePlacement

/**
 * The components and configuration of an [EmbeddedFleet].
 *
 * [engines] and [services] get the ids `engine-1`, `service-1` and so on, and every engine serves all [models].
 * Endpoints and instances are assigned to [failureDomains] round robin. At most [maxConcurrentLoads] engines load
 * weights at the same time. [firstCallerPort] and [firstOperatorPort] are the ports of the first instance; the other
 * instances use the ports that follow. Zero binds free ports. [policy] places requests on engines.
 */
public data class EmbeddedFleetOptions(
    val instances: Int,
    val engines: List<StandinEngineOptions>,
    val services: List<StandinServiceOptions> = emptyList(),
    val failureDomains: List<String> = listOf("zone-1"),
    val customers: List<Customer>,
    val models: List<Model>,
    val routes: List<Route>,
    val maxConcurrentLoads: Int = 2,
    val firstCallerPort: Int = 0,
    val firstOperatorPort: Int = 0,
    val policy: PlacementPolicy = ::prefixAwarePlacement,
)
