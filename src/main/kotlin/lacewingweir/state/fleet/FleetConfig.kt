/** The operators' configuration as routing uses it. */
package lacewingweir.state.fleet

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName

/** How often a request may run, and how its answer arrives. */
internal enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run once at most. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events. May run once at most, unless the route allows resuming. */
    STREAM,
}

/** A service of a route and its share of the route's requests in relation to the other targets. */
internal data class RouteTarget(
    val service: ServiceName,
    val weight: Int,
)

/**
 * What one route promises its callers.
 *
 * [maxEndpoints] bounds the endpoints that one request may be sent to. [answerTargetMillis] is the time to a whole
 * answer or to the first event within which an answer is on time. A lower [priority] is more urgent. [open] routes
 * need no key.
 */
internal data class RoutePolicy(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val targets: List<RouteTarget>,
    val timeoutMillis: Long,
    val answerTargetMillis: Long,
    val maxEndpoints: Int,
    val priority: Int,
    val open: Boolean,
    val resumable: Boolean,
) {
    /** Whether a second run of the same request does no harm. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable)
}

/**
 * Limits of the engines of one service. [memoryTokens] is shared by running requests and cached prompt parts.
 * [transferMillisPerToken] is the time to copy a cached token from one engine to another. Engines that
 * [supportsHandover] can let another engine finish an answer.
 */
internal data class EngineSpec(
    val slots: Int,
    val memoryTokens: Long,
    val transferMillisPerToken: Double,
    val supportsHandover: Boolean = false,
    val models: List<ModelName>,
)

/**
 * A group of endpoints. [maxConnections] bounds the connections of all callers to one endpoint; [engine] is null for
 * plain services.
 */
internal data class ServiceSpec(
    val name: ServiceName,
    val maxConnections: Int,
    val engine: EngineSpec?,
)

/** Tokens per second and burst that a customer may spend over the whole fleet. */
internal data class RateLimit(
    val perSecond: Double,
    val burst: Double,
)

/**
 * A customer with the digests of its keys. [priority] overrides the route's. [requestTokens] is what a request without
 * a token count is charged. Cached prompt parts of an [isolated] customer serve nobody else.
 */
internal data class CustomerSpec(
    val id: CustomerId,
    val keys: Set<KeyDigest>,
    val priority: Int?,
    val rate: RateLimit?,
    val requestTokens: Long,
    val isolated: Boolean,
)

/** Bounds on what a caller may send and on how long its connection may stay idle. */
internal data class CallerLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)

/** One version of the configuration. Without [customers] no request needs a key. */
internal class FleetConfig(
    val number: Long,
    val routes: List<RoutePolicy>,
    services: List<ServiceSpec>,
    val customers: List<CustomerSpec>,
    val limits: CallerLimits,
) {
    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, all) ->
            all.sortedByDescending { it.pathPrefix.length }
        }
    private val customersByKey = customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()
    val services: Map<ServiceName, ServiceSpec> = services.associateBy { it.name }

    /** The route of [host] with the longest prefix that begins [path]. */
    fun route(
        host: String,
        path: String,
    ): RoutePolicy? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The customer that holds the key with this digest. */
    fun customer(key: KeyDigest): CustomerSpec? = customersByKey[key]
}

/** Where an instance takes messages of its peers. */
internal data class PeerEntry(
    val name: String,
    val host: String,
    val port: Int,
    val domain: FailureDomain,
)
