package lacewingweir.coordination.weights

import kotlin.math.ceil
import kotlin.math.max

/**
 * Returns how many of [engines] may load weights at the same time while the fleet runs [running] requests.
 *
 * The limits are chosen for new weights being announced every few seconds under continuous traffic. A lightly loaded
 * fleet loads half of its engines at once, so that new requests find engines with new weights after a single load. A
 * busy fleet keeps more engines serving, because late responses cost more than outdated weights. It loads a quarter of
 * its engines at a time, which is the smallest share that finishes within the time that the platform allows.
 *
 * [remainingMillis] contains, for each engine with outdated weights, the milliseconds until calls may no longer begin
 * on them. If loading has begun late, more engines load at once, so that all have had their turn by then. Engines close
 * to that time all load at once: from then on they serve nobody, and a load gives back the calls that wait there.
 */
internal fun maxConcurrentLoads(
    engines: Int,
    running: Int,
    remainingMillis: List<Long> = emptyList(),
): Int {
    val runningPerEngine = running.toDouble() / engines.coerceAtLeast(1)
    val share =
        when {
            runningPerEngine < LIGHT_LOAD_MAX_RUNNING -> LIGHT_LOAD_SHARE
            runningPerEngine < BUSY_MIN_RUNNING -> MODERATE_LOAD_SHARE
            else -> BUSY_SHARE
        }
    val dueLoads = remainingMillis.sumOf { 1.0 / batchesLeft(it) }
    return max(ceil(engines * share), ceil(dueLoads - ROUNDING_ERROR)).toInt().coerceAtLeast(1)
}

/** Returns how many more engines may load at the same time as idle ones, which nobody misses while others serve. */
internal fun maxConcurrentLoadsWithIdle(
    engines: Int,
    maxConcurrentLoads: Int,
): Int = max(maxConcurrentLoads, ceil(engines * LIGHT_LOAD_SHARE).toInt())

/** Returns whether an engine is so close to the end of its time that it loads at once. */
internal fun isUrgent(remainingMillis: Long): Boolean = remainingMillis < URGENT_MILLIS

/** Returns how many batches, one after the other, can begin to load in the remaining time. */
private fun batchesLeft(remainingMillis: Long): Long =
    if (isUrgent(remainingMillis)) 1 else 2 + (remainingMillis - URGENT_MILLIS) / BATCH_MILLIS

/** A call takes about as long from its placement to its beginning, and a load command about as long to be accepted. */
private const val URGENT_MILLIS: Long = 1_000

/** Time in which a busy engine drains and loads. */
private const val BATCH_MILLIS: Long = 2_000
private const val ROUNDING_ERROR: Double = 1e-9

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
