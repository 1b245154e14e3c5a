package lacewingweir.coordination.placement

import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ServiceName

/**
 * What a request needs of an endpoint. [excluded] were tried before. [cacheIsolation] separates cached parts, or is null.
 */
internal class PlacementRequest(
    val service: ServiceName,
    val prompt: Prompt?,
    val cacheIsolation: String?,
    val excluded: Set<EndpointId>,
) {
    /** The same request where no other endpoint is left than those tried before. */
    fun withoutExclusions() = PlacementRequest(service, prompt, cacheIsolation, emptySet())
}
