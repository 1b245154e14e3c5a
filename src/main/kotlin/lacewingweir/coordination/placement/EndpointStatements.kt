package lacewingweir.coordination.placement

import lacewingweir.coordination.fleet.FleetDirectory
import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.fleet.EndpointStatement

/** Applies what endpoints say about themselves in their responses to calls and to control requests. */
internal class EndpointStatements(
    private val directory: FleetDirectory,
    private val tracker: EndpointTracker,
) {
    /** Records the [statement] of a response of [endpoint], before the response is passed on. */
    fun record(
        endpoint: EndpointEntry,
        statement: EndpointStatement,
    ) {
        if (statement.leaving) directory.onLeaving(listOf(endpoint.tag), source = "self")
        statement.survivedRefusals?.let { tracker.onBrittle(endpoint, it, refused = statement.lacksRoom) }
        if (statement.pauseMillis > 0) tracker.pause(endpoint, statement.pauseMillis)
    }

    /** Returns whether the endpoint accepts no requests from this instance now, control requests included. */
    fun isPaused(endpoint: EndpointEntry): Boolean = tracker.pauseMillis(endpoint) > 0
}
