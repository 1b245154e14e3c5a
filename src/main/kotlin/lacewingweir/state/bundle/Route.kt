package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId

/**
 * Maps a path to a model or to plain services.
 *
 * Exactly one of [model] and [services] is set. Model routes share `POST /v1/chat/completions`; the caller picks one
 * by the request's `model` field, which names the route id or the model. Service routes match `/services/` + [path]
 * and any longer path below it. An [open] route needs no key and may not be limited by a customer's rate. A route
 * that is not [repeatable] is sent at most once. [deadlineMillis] bounds queueing plus time to first byte.
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
