/**
 * Endpoints that accept no requests from this instance until a given time, because they said so when they refused one.
 *
 * Answers the load of a service of which some endpoints are overloaded: each request that they refuse costs a
 * connection and a repeat, and delays a call that another endpoint could serve. Pauses are kept by the run of the
 * endpoint, so that an item that expires during an outage of the store and is written again doesn't end them.
 */
package lacewingweir.coordination.placement

import lacewingweir.state.id.EndpointTag

/** Not thread-safe; [EndpointTracker] synchronizes. Times are of the monotonic clock. */
internal class EndpointPauses {
    private val untilMillis = HashMap<EndpointTag, Long>()

    /** The number of pauses that have begun. */
    var begun = 0L
        private set

    /**
     * Records that an endpoint asked at [nowMillis] for a pause of [millis]. A shorter pause doesn't end a longer one.
     * Returns whether the endpoint pauses longer than before.
     */
    fun add(
        endpoint: EndpointTag,
        millis: Long,
        nowMillis: Long,
    ): Boolean {
        untilMillis.values.removeIf { it <= nowMillis }
        val known = untilMillis[endpoint]
        val until = nowMillis + millis.coerceAtMost(MAX_PAUSE_MILLIS)
        if (known != null && known >= until) return false
        if (known == null) begun++
        untilMillis[endpoint] = until
        return true
    }

    /** Returns the milliseconds until the endpoint accepts requests, or zero if it does not pause. */
    fun remainingMillis(
        endpoint: EndpointTag,
        nowMillis: Long,
    ): Long = ((untilMillis[endpoint] ?: return 0) - nowMillis).coerceAtLeast(0)

    private companion object {
        /** A day. Longer pauses would outlast any process. */
        const val MAX_PAUSE_MILLIS: Long = 86_400_000
    }
}
