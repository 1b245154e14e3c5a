package lacewingweir.transport.gateway

import lacewingweir.coordination.routing.LeavingEndpoints
import lacewingweir.state.bundle.Bundle
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.EndpointId
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Selects endpoints of plain services.
 *
 * Selects the endpoint with the fewest calls in progress from this instance. An endpoint whose last call failed within
 * the last [AVOID_MILLIS] is only selected if no other endpoint is available.
 */
internal class ServiceEndpointSelector(
    private val clock: MonotonicClock,
    private val leavingEndpoints: LeavingEndpoints,
) {
    private class EndpointState {
        val activeCalls = AtomicInteger()

        @Volatile
        var avoidUntilMillis: Long = Long.MIN_VALUE
    }

    private val states = ConcurrentHashMap<EndpointId, EndpointState>()

    /**
     * Selects an endpoint of [route] that is not in [excluded] and counts a call in progress for it.
     *
     * Returns null if no endpoint is available. The caller must report the end of the call with [release].
     */
    fun acquire(
        bundle: Bundle,
        route: Route,
        excluded: Set<EndpointId>,
    ): Endpoint? {
        val available =
            route.services
                .filter {
                    it !in excluded && !leavingEndpoints.isLeaving(it)
                }.mapNotNull(bundle::endpoint)
        val now = clock.nowMillis()
        val healthy = available.filter { stateOf(it.id).avoidUntilMillis <= now }
        val selected = healthy.ifEmpty { available }.shuffled().minByOrNull { stateOf(it.id).activeCalls.get() }
        selected?.let { stateOf(it.id).activeCalls.incrementAndGet() }
        return selected
    }

    /** Reports the end of a call. A failed call makes the endpoint avoided for [AVOID_MILLIS]. */
    fun release(
        endpoint: Endpoint,
        failed: Boolean,
    ) {
        val state = stateOf(endpoint.id)
        state.activeCalls.decrementAndGet()
        state.avoidUntilMillis = if (failed) clock.nowMillis() + AVOID_MILLIS else Long.MIN_VALUE
    }

    private fun stateOf(id: EndpointId): EndpointState = states.computeIfAbsent(id) { EndpointState() }

    private companion object {
        const val AVOID_MILLIS: Long = 2_000
    }
}
