package lacewingweir.coordination.placement

import lacewingweir.state.fleet.EndpointEntry

/**
 * What a rollout of a software version requires of placements. By default there is no rollout.
 *
 * The functions are called under the lock of the tracker, so they must not call it.
 *
 * @property accepts returns whether an endpoint may get a call, which goes on with a stream or not
 * @property prefers returns whether a new call goes to an endpoint rather than to others that are accepted
 * @property isReference returns whether an endpoint's speed counts for the common speed of its service, by which the
 *   times of different versions are compared
 * @property onPlaced is called for each placement, those of repeats and handovers included
 * @property onRejected is called for each placement whose call did not run, because it was refused before it was sent
 *   or by the endpoint
 */
internal class VersionRules(
    val accepts: (EndpointEntry, continuesStream: Boolean) -> Boolean = { _, _ -> true },
    val prefers: (EndpointEntry) -> Boolean = { true },
    val isReference: (EndpointEntry) -> Boolean = { true },
    val onPlaced: (EndpointEntry) -> Unit = {},
    val onRejected: (EndpointEntry, wasSent: Boolean) -> Unit = { _, _ -> },
)
