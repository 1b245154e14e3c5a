package lacewingweir.coordination.rate

/** Tokens reserved for one request. Safe to use from several threads. */
public interface Reservation : AutoCloseable {
    /** Counts [tokens] as used. More than was reserved lowers the customer's balance below zero. */
    public fun settle(tokens: Long)

    /** Returns what was not settled. Further calls do nothing. */
    override fun close()
}
