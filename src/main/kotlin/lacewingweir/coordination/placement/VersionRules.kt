package lacewingweir.coordination.placement

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ServiceName

/**
 * What a rollout of a software version requires of placements. By default there is no rollout.
 *
 * The functions are called under the lock of the tracker, so they must not call it. What depends on a service is asked
 * once for each placement, not for each of its endpoints.
 *
 * @property accepting returns which endpoints of a service may get a call, which goes on with a stream or not
 * @property preferring returns which endpoints of a service a new call goes to rather than to others that are accepted,
 *   or null if none are preferred
 * @property isReference returns whether an endpoint's speed counts for the common speed of its service, by which the
 *   times of different versions are compared
 * @property onPlaced is called for each placement, those of repeats and handovers included
 * @property onRejected is called for each placement whose call did not run, because it was refused before it was sent
 *   or by the endpoint
 */
internal class VersionRules(
    val accepting: (ServiceName, continuesStream: Boolean) -> (EndpointEntry) -> Boolean = { _, _ -> { true } },
    val preferring: (ServiceName) -> ((EndpointEntry) -> Boolean)? = { null },
    val isReference: (EndpointEntry) -> Boolean = { true },
    val onPlaced: (EndpointEntry) -> Unit = {},
    val onRejected: (EndpointEntry, wasSent: Boolean) -> Unit = { _, _ -> },
)
