package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId

/**
 * Maps a path to a model or to plain services.
 *
 * Exactly one of [model] and [services] is set. All model routes share `POST /v1/chat/completions` and are selected by
 * the `model` field of the request, which contains the route id or the model name. A service route matches
 * `/services/` followed by [path], and all paths below it. An [open] route requires no key, so no customer's rate limit
 * applies. It must be a service route, because tokens of a model are charged to a customer. A call on a route that is
 * not [repeatable] is sent at most once. [deadlineMillis] limits the queueing time plus the time to the first byte.
 */
@Serializable
public data class Route(
    val id: RouteId,
    val trafficClass: TrafficClass,
    val model: ModelName? = null,
    val path: String? = null,
    val services: List<EndpointId> = emptyList(),
    val open: Boolean = false,
    val repeatable: Boolean = true,
    val claimOutage: ClaimOutagePolicy = ClaimOutagePolicy.REFUSE,
    val deadlineMillis: Long = 30_000,
)
