/** The operators' configuration in the form that routing uses. */
package lacewingweir.state.fleet

import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.KeyDigest
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.RouteId
import lacewingweir.state.id.ServiceName

/** Specifies how many times a request may run, and how its answer arrives. */
internal enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events. May run at most once, unless the route allows resuming. */
    STREAM,
}

/** A service of a route. Its share of the route's requests is [weight] divided by the sum of all targets' weights. */
internal data class RouteTarget(
    val service: ServiceName,
    val weight: Int,
)

/**
 * The configuration of a route.
 *
 * One request is sent to at most [maxEndpoints] endpoints. An answer is on time if it is complete, or its first event
 * arrives, within [answerTargetMillis]. A lower [priority] is more urgent. Requests to [open] routes need no key.
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
    /** Whether the same request may run more than once. */
    val repeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable)
}

/**
 * Limits of the engines of one service. [memoryTokens] is shared by running requests and cached prompt parts.
 * [transferMillisPerToken] is the time to copy a cached token from one engine to another. If [supportsHandover],
 * another engine can continue a running answer.
 */
internal data class EngineSpec(
    val slots: Int,
    val memoryTokens: Long,
    val transferMillisPerToken: Double,
    val supportsHandover: Boolean = false,
    val models: List<ModelName>,
)

/**
 * A group of endpoints. [maxConnections] limits the connections of all callers to one endpoint. [engine] is null for
 * services whose endpoints are not inference engines.
 */
internal data class ServiceSpec(
    val name: ServiceName,
    val maxConnections: Int,
    val engine: EngineSpec?,
)

/** The fleet-wide token bucket of a customer: refill rate in tokens per second, and capacity in tokens. */
internal data class RateLimit(
    val perSecond: Double,
    val burst: Double,
)

/**
 * A customer with the digests of its keys. [priority] overrides that of the route. A request without a token count is
 * charged [requestTokens]. Cached prompt parts of an [isolated] customer are not used for other customers.
 */
internal data class CustomerSpec(
    val id: CustomerId,
    val keys: Set<KeyDigest>,
    val priority: Int?,
    val rate: RateLimit?,
    val requestTokens: Long,
    val isolated: Boolean,
)

/** Limits on the size of requests and on the time for which a caller's connection may be idle. */
internal data class CallerLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)

/** One version of the configuration. If [customers] is empty, no request needs a key. */
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

    /** Returns the route of [host] with the longest prefix that [path] starts with, or null if there is none. */
    fun route(
        host: String,
        path: String,
    ): RoutePolicy? = routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the customer that owns the key with this digest, or null if there is none. */
    fun customer(key: KeyDigest): CustomerSpec? = customersByKey[key]
}

/** The address at which an instance receives messages from its peers. */
internal data class PeerEntry(
    val name: String,
    val host: String,
    val port: Int,
    val domain: FailureDomain,
)
