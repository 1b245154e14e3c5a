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
 * `/services/` followed by [path], and all paths below it. An [open] route requires no key and is not subject to a
 * customer's rate limit. A call on a route that is not [repeatable] is sent at most once. [deadlineMillis] limits the
 * queueing time plus the time to the first byte.
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
