/**
 * Endpoints that have said in their responses or items that they are about to leave.
 *
 * While the store is away, responses are all that an instance learns of a shutdown. Statements are kept by the run of
 * the endpoint: one that starts again under its id is not leaving, and an item that expires during an outage and is
 * written again, or that a restored store shows as it was before, doesn't undo what the endpoint has said.
 */
package lacewingweir.coordination.fleet

import lacewingweir.state.id.EndpointTag
import lacewingweir.state.time.MonotonicClock

internal class LeavingEndpoints(
    private val clock: MonotonicClock,
) {
    /**
     * When this instance learned of each run from a response, in milliseconds of the monotonic clock, or [NO_NEWS] if
     * the item says it, which all peers read.
     */
    private val learnedAtMillis = LinkedHashMap<EndpointTag, Long>()

    /** Returns whether the run was not known to be leaving. */
    fun add(
        endpoint: EndpointTag,
        isNews: Boolean = true,
    ): Boolean {
        val learnedAt = if (isNews) clock.nowMillis() else NO_NEWS
        if (learnedAtMillis.putIfAbsent(endpoint, learnedAt) != null) return false
        if (learnedAtMillis.size > MAX_ENDPOINTS) learnedAtMillis.remove(learnedAtMillis.keys.first())
        return true
    }

    operator fun contains(endpoint: EndpointTag): Boolean = endpoint in learnedAtMillis

    /** Returns the runs that this instance has learned of so recently that its peers may not know them yet. */
    fun news(): List<EndpointTag> {
        val oldest = clock.nowMillis() - NEWS_MILLIS
        return learnedAtMillis.filterValues { it >= oldest }.keys.toList()
    }

    private companion object {
        /** Several times the endpoints of the largest fleet. */
        const val MAX_ENDPOINTS: Int = 4_096

        /** Allows for several digests of a large fleet, in case some are lost. */
        const val NEWS_MILLIS: Long = 5_000
        const val NO_NEWS: Long = Long.MIN_VALUE
    }
}
