package lacewingweir.state.retry

/**
 * Budget for retries: each request adds a share of a retry, and a small rate is added so that rare traffic can retry
 * too.
 *
 * Immutable. When many endpoints fail at once the budget runs out, and retries stop adding load to the rest.
 */
public data class RetryBudget(
    val tokens: Double = MAX_TOKENS,
    val updatedAtMillis: Long = 0,
) {
    /** The budget after a first attempt at [nowMillis]. */
    public fun onRequest(nowMillis: Long): RetryBudget = refill(nowMillis).add(RETRIES_PER_REQUEST)

    /** The budget after one retry at [nowMillis], or null if it is spent. */
    public fun tryRetry(nowMillis: Long): RetryBudget? =
        refill(nowMillis).let { if (it.tokens < 1.0) null else it.copy(tokens = it.tokens - 1.0) }

    private fun refill(nowMillis: Long): RetryBudget {
        val elapsed = (nowMillis - updatedAtMillis).coerceAtLeast(0)
        return copy(updatedAtMillis = nowMillis).add(elapsed * FLOOR_RETRIES_PER_SECOND / MILLIS_PER_SECOND)
    }

    private fun add(retries: Double): RetryBudget = copy(tokens = (tokens + retries).coerceAtMost(MAX_TOKENS))

    private companion object {
        const val RETRIES_PER_REQUEST: Double = 0.1
        const val FLOOR_RETRIES_PER_SECOND: Double = 2.0
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Enough to resume all streams that one instance has on one engine when that engine crashes. */
        const val MAX_TOKENS: Double = 64.0
    }
}
