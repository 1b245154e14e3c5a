package lacewingweir.coordination.rate

/** Tokens reserved for one request. Implementations are thread-safe. */
public interface Reservation : AutoCloseable {
    /**
     * Consumes [tokens]. Tokens beyond the reservation are taken from the customer's available tokens, whose number may
     * become negative.
     */
    public fun consume(tokens: Long)

    /** Releases the tokens that were not consumed. Further calls have no effect. */
    override fun close()
}
