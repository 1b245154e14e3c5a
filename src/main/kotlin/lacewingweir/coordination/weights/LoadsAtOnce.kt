package lacewingweir.coordination.weights

import kotlin.math.ceil

/**
 * How many of [engines] may load weights at once while the fleet has [running] requests.
 *
 * Load pattern: new weights are named every few seconds while callers keep coming. A lightly loaded fleet loads half
 * of its engines at once, so that within one load all new requests find new weights. A busy one needs its engines, and
 * late answers cost more than old weights: it loads a quarter at a time, as few as finish in the time that the
 * platform grants.
 */
internal fun loadsAtOnce(
    engines: Int,
    running: Int,
): Int {
    val perEngine = running.toDouble() / engines.coerceAtLeast(1)
    val share =
        when {
            perEngine < LIGHT_LOAD_RUNNING -> LIGHT_LOAD_SHARE
            perEngine < BUSY_RUNNING -> MODERATE_LOAD_SHARE
            else -> BUSY_SHARE
        }
    return ceil(engines * share).toInt().coerceAtLeast(1)
}

/** Running requests of an engine up to which it counts as lightly loaded: prompts hardly ever meet. */
private const val LIGHT_LOAD_RUNNING: Double = 1.5

/** Running requests from which on an engine's prompts wait for each other. */
private const val BUSY_RUNNING: Double = 3.0
private const val LIGHT_LOAD_SHARE: Double = 0.5
private const val MODERATE_LOAD_SHARE: Double = 0.34

/**
 * A load with its drain takes two to three seconds of a busy engine; four batches fit into the time that is granted.
 */
private const val BUSY_SHARE: Double = 0.25
