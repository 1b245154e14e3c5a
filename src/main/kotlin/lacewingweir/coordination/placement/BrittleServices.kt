/**
 * Services whose endpoints say that they are brittle.
 *
 * All endpoints of a service are brittle at the same times, and one that has fallen over says nothing until it answers
 * again, so what one says holds for all of them.
 */
package lacewingweir.coordination.placement

import lacewingweir.state.id.ServiceName

/** Not thread-safe; [EndpointTracker] synchronizes. Times are of the monotonic clock. */
internal class BrittleServices {
    private class Statement(
        val refusalsPerSecond: Double,
        val untilMillis: Long,
    )

    private val statements = HashMap<ServiceName, Statement>()

    /** Records that an endpoint of [service] survives [refusalsPerSecond]. Returns whether this is new. */
    fun add(
        service: ServiceName,
        refusalsPerSecond: Double,
        nowMillis: Long,
    ): Boolean {
        val before = refusalsPerSecond(service, nowMillis)
        statements[service] = Statement(refusalsPerSecond, nowMillis + VALIDITY_MILLIS)
        return before != refusalsPerSecond
    }

    /** Returns how many refusals a second an endpoint of [service] survives, or null if it isn't brittle. */
    fun refusalsPerSecond(
        service: ServiceName,
        nowMillis: Long,
    ): Double? = statements[service]?.takeIf { it.untilMillis > nowMillis }?.refusalsPerSecond

    private companion object {
        /** Longer than an endpoint that has fallen over takes to come back. */
        const val VALIDITY_MILLIS: Long = 10_000
    }
}
