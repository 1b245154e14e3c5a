/** The choice of the engines that load weights next. */
package lacewingweir.coordination.weights

import lacewingweir.state.fleet.EndpointEntry
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsNumber

/**
 * An engine with outdated weights and [running] requests.
 *
 * [remainingMillis] are those until calls may no longer begin on its weights, negative afterwards.
 */
internal class OutdatedEngine(
    val engine: EndpointEntry,
    val model: ModelName,
    val target: WeightsNumber,
    val remainingMillis: Long,
    val running: Int,
) {
    val isIdle: Boolean
        get() = running == 0
}

/** Numbers of engines that load now, by whether they were idle before. */
internal data class LoadsInProgress(
    val busy: Int,
    val idle: Int,
)

/**
 * Returns which engines of [waiting] are commanded to load now.
 *
 * Of all [engines], [loads] are loading already, and [maxLoads] may load at once. Engines that calls may soon no longer
 * be sent to go first. Then come idle engines, which don't take the places of others as long as half of the engines
 * serve.
 */
internal fun chooseLoads(
    waiting: List<OutdatedEngine>,
    engines: Int,
    maxLoads: Int,
    loads: LoadsInProgress,
): List<OutdatedEngine> {
    val freePlaces = maxConcurrentLoadsWithIdle(engines, maxLoads) - loads.busy - loads.idle
    val (urgent, others) = waiting.sortedBy { it.remainingMillis }.partition { isUrgent(it.remainingMillis) }
    val (idle, busy) = others.partition { it.isIdle }
    val first = (urgent + idle).take(freePlaces.coerceAtLeast(0))
    val busyPlaces = minOf(freePlaces - first.size, maxLoads - loads.busy - first.count { !it.isIdle })
    return first + busy.sortedBy { it.running }.take(busyPlaces.coerceAtLeast(0))
}
