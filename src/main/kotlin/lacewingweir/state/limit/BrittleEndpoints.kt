/**
 * Bounds what an instance sends to brittle endpoints, which fall over when they have to refuse too many requests.
 *
 * All instances together send no more requests at once than an endpoint runs, so that few wait there and few are
 * refused. An instance that is refused nevertheless sends nothing to the endpoint for so long that the refusals of all
 * instances stay below what it survives.
 */
package lacewingweir.state.limit

/**
 * Returns the milliseconds for which an instance sends nothing to an endpoint that has refused a request of it.
 *
 * The endpoint has [slots], of which the instance has [slotShare], and survives [refusalsPerSecond], of which the
 * instance has the same part.
 */
internal fun pauseAfterRefusalMillis(
    slots: Int,
    slotShare: Int,
    refusalsPerSecond: Double,
): Long {
    val part = slotShare.coerceAtLeast(1).toDouble() / slots.coerceAtLeast(1)
    val usable = maxOf(refusalsPerSecond * USABLE_REFUSALS, MIN_REFUSALS_PER_SECOND)
    return (MILLIS_PER_SECOND / (usable * part)).toLong()
}

/** Share of the refusals that are used up. The rest is for those that were on their way at the same time. */
private const val USABLE_REFUSALS = 0.5

/** Bounds the pause at an endpoint that survives none. */
private const val MIN_REFUSALS_PER_SECOND = 0.25
private const val MILLIS_PER_SECOND = 1_000
