package lacewingweir.coordination.placement

import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ServiceName

/**
 * A request for an endpoint.
 *
 * [excluded] endpoints were tried before. Requests with different [cacheIsolation] don't share cached prompt parts;
 * null stands for the cache shared by customers that aren't isolated.
 */
internal class PlacementRequest(
    val service: ServiceName,
    val prompt: Prompt?,
    val cacheIsolation: String?,
    val excluded: Set<EndpointId>,
) {
    /** Returns the same request without exclusions, for when only endpoints that were tried before are left. */
    fun withoutExclusions() = PlacementRequest(service, prompt, cacheIsolation, emptySet())
}
