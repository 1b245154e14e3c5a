package lacewingweir.coordination.weights

import kotlin.math.ceil

/**
 * Returns how many of [engines] may load weights at the same time while the fleet runs [running] requests.
 *
 * The limits are chosen for new weights being announced every few seconds under continuous traffic. A lightly loaded
 * fleet loads half of its engines at once, so that new requests find engines with new weights after a single load. A
 * busy fleet keeps more engines serving, because late responses cost more than outdated weights. It loads a quarter of
 * its engines at a time, which is the smallest share that finishes within the time that the platform allows.
 */
internal fun maxConcurrentLoads(
    engines: Int,
    running: Int,
): Int {
    val runningPerEngine = running.toDouble() / engines.coerceAtLeast(1)
    val share =
        when {
            runningPerEngine < LIGHT_LOAD_MAX_RUNNING -> LIGHT_LOAD_SHARE
            runningPerEngine < BUSY_MIN_RUNNING -> MODERATE_LOAD_SHARE
            else -> BUSY_SHARE
        }
    return ceil(engines * share).toInt().coerceAtLeast(1)
}

/** Running requests per engine below which the load counts as light: prompts rarely wait for each other. */
private const val LIGHT_LOAD_MAX_RUNNING: Double = 1.5

/** Running requests per engine from which prompts wait for each other. */
private const val BUSY_MIN_RUNNING: Double = 3.0
private const val LIGHT_LOAD_SHARE: Double = 0.5
private const val MODERATE_LOAD_SHARE: Double = 0.34

/**
 * Draining and loading a busy engine takes two to three seconds, so four batches fit into the time that the platform
 * allows.
 */
private const val BUSY_SHARE: Double = 0.25
