/** Order in which engines admit waiting requests. */
package lacewingweir.state.contention

/**
 * Returns the rank of a request at its engine; a lower one is admitted first.
 *
 * A customer's priority goes before that of the route. Under contention, requests of customers with the same priority
 * are ordered by their routes, because otherwise a burst of a less urgent route delays all others.
 */
internal fun engineRank(
    customerPriority: Int?,
    routePriority: Int,
    contended: Boolean,
): Int {
    val first = customerPriority ?: routePriority
    if (!contended) return first
    return first.coerceIn(0, MAX_PRIORITY) * PRIORITIES + routePriority.coerceIn(0, MAX_PRIORITY)
}

/** Engines distinguish ten ranks, so three priorities of customers with three of routes each. */
private const val PRIORITIES: Int = 3
private const val MAX_PRIORITY: Int = PRIORITIES - 1
