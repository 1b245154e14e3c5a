package lacewingweir.state.retry

/**
 * A token bucket that limits retries. Each request adds a fraction of a token, and a small constant rate is added so
 * that retries are possible at low traffic too. One retry costs one token.
 *
 * Immutable. When many endpoints fail at once the budget runs out, so that retries don't overload the remaining ones.
 */
public data class RetryBudget(
    val tokens: Double = MAX_TOKENS,
    val updatedAtMillis: Long = 0,
) {
    /** Returns the budget after a first attempt at [nowMillis]. */
    public fun onRequest(nowMillis: Long): RetryBudget = refill(nowMillis).add(RETRIES_PER_REQUEST)

    /** Returns the budget after one retry at [nowMillis], or null if it is exhausted. */
    public fun tryRetry(nowMillis: Long): RetryBudget? =
        refill(nowMillis).let { if (it.tokens < 1.0) null else it.copy(tokens = it.tokens - 1.0) }

    private fun refill(nowMillis: Long): RetryBudget {
        val elapsed = (nowMillis - updatedAtMillis).coerceAtLeast(0)
        return copy(updatedAtMillis = nowMillis).add(elapsed * MIN_RETRIES_PER_SECOND / MILLIS_PER_SECOND)
    }

    private fun add(retries: Double): RetryBudget = copy(tokens = (tokens + retries).coerceAtMost(MAX_TOKENS))

    private companion object {
        const val RETRIES_PER_REQUEST: Double = 0.1
        const val MIN_RETRIES_PER_SECOND: Double = 2.0
        const val MILLIS_PER_SECOND: Double = 1_000.0

        /** Enough for one instance to resume all its streams on one engine after that engine crashes. */
        const val MAX_TOKENS: Double = 64.0
    }
}
