package lacewingweir.coordination.placement

import lacewingweir.state.fleet.Prompt
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.EndpointTag
import lacewingweir.state.id.ServiceName
import lacewingweir.state.id.SoftwareVersion

/**
 * A request for an endpoint.
 *
 * [excluded] endpoints were tried before. Those in [received] have received the request and must not get it again.
 * Requests with different [cacheIsolation] don't share cached prompt parts; null stands for the cache shared by
 * customers that aren't isolated. A request that continues a stream needs an endpoint with the version [software]; one
 * that begins anew has null there. A request is refused if it is expected to wait for more than [usableMillis].
 */
internal class PlacementRequest(
    val service: ServiceName,
    val prompt: Prompt?,
    val cacheIsolation: String?,
    val excluded: Set<EndpointId>,
    val received: Set<EndpointTag> = emptySet(),
    val software: SoftwareVersion? = null,
    val usableMillis: Double = Double.POSITIVE_INFINITY,
) {
    /**
     * Returns the same request for when only endpoints that were tried before are left. It still excludes those that
     * have received it.
     */
    fun withoutExclusions() =
        PlacementRequest(service, prompt, cacheIsolation, emptySet(), received, software, usableMillis)

    /** Returns the same request without any excluded endpoints. */
    fun withoutReceived() =
        PlacementRequest(service, prompt, cacheIsolation, emptySet(), emptySet(), software, usableMillis)
}
