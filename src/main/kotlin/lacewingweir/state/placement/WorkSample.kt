package lacewingweir.state.placement

/** An endpoint's work on one request, which was there from [startMillis] to [endMillis]. */
internal class WorkSample(
    val work: Double,
    val startMillis: Double,
    val endMillis: Double,
)

/**
 * Returns the speed of an endpoint that processes requests one after the other, in work per millisecond: two thirds of
 * the work of [samples] was done at most that fast.
 *
 * A request is processed from the end of the one before it on, or from its own start if that is later. A sample seems
 * too slow if the one before it is unknown, if a cached prefix was evicted, or in a slow phase; few samples seem too
 * fast. So this quantile changes little as long as less than two thirds of the work seem too slow, while a mean would
 * change much.
 */
internal fun serialSpeed(samples: Collection<WorkSample>): Double {
    var freeAtMillis = Double.NEGATIVE_INFINITY
    val speedsAndWork =
        samples.sortedBy { it.endMillis }.map { sample ->
            val millis = sample.endMillis - maxOf(sample.startMillis, freeAtMillis)
            freeAtMillis = sample.endMillis
            sample.work / millis.coerceAtLeast(1.0) to sample.work
        }
    var remaining = samples.sumOf { it.work } * SLOWER_SHARE
    val sorted = speedsAndWork.sortedBy { it.first }
    return sorted
        .firstOrNull { (_, work) ->
            remaining -= work
            remaining <= 0.0
        }?.first ?: 0.0
}

/** With half of the work instead, 8 of 50 replays of equal engines with slow phases were taken for uneven. */
private const val SLOWER_SHARE: Double = 2.0 / 3
