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
 * Chooses endpoints of plain services: the one with the fewest calls of this instance in progress, avoiding those
 * that failed lately as long as another is left.
 */
internal class ServiceEndpoints(
    private val clock: MonotonicClock,
    private val leaving: LeavingEndpoints,
) {
    private class Load {
        val running = AtomicInteger()

        @Volatile
        var avoidUntilMillis: Long = Long.MIN_VALUE
    }

    private val loads = ConcurrentHashMap<EndpointId, Load>()

    /** Null if no endpoint of the route is available. The caller ends the call with [finished]. */
    fun choose(
        bundle: Bundle,
        route: Route,
        excluded: Set<EndpointId>,
    ): Endpoint? {
        val usable = route.services.filter { it !in excluded && !leaving.isLeaving(it) }.mapNotNull(bundle::endpoint)
        val now = clock.nowMillis()
        val healthy = usable.filter { load(it.id).avoidUntilMillis <= now }
        val chosen = healthy.ifEmpty { usable }.shuffled().minByOrNull { load(it.id).running.get() }
        chosen?.let { load(it.id).running.incrementAndGet() }
        return chosen
    }

    fun finished(
        endpoint: Endpoint,
        failed: Boolean,
    ) {
        val load = load(endpoint.id)
        load.running.decrementAndGet()
        load.avoidUntilMillis = if (failed) clock.nowMillis() + AVOID_MILLIS else Long.MIN_VALUE
    }

    private fun load(id: EndpointId): Load = loads.computeIfAbsent(id) { Load() }

    private companion object {
        const val AVOID_MILLIS: Long = 2_000
    }
}
