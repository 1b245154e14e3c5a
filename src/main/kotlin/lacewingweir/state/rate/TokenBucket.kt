/*
 * Token accounting of one customer in one instance: bucket, loans given and taken, demand and borrowing policy.
 *
 * Everything here is owner-confined: the caller holds the customer's lock and passes the time in. Amounts are integer
 * micro-tokens and refill is integer micro-tokens per millisecond, so that rounding never adds tokens.
 */
package lacewingweir.state.rate

/** Micro-tokens in one token. */
public const val MICROS_PER_TOKEN: Long = 1_000_000

/** Micro-tokens per millisecond in one token per second. */
public const val MICROS_PER_MILLI_IN_TOKEN_PER_SECOND: Long = 1_000

/**
 * A token bucket that also accounts for tokens reserved but not yet used.
 *
 * `available + outstanding <= capacity` holds after every call. When capacity is taken away while reservations use it,
 * the part of them that no longer fits is orphaned: it may still be used, but what is returned of it is lost. Returns
 * count against orphaned tokens first and settlements against backed ones first; in any other order a return could
 * give back tokens that another reservation has used.
 */
public class TokenBucket(
    startMillis: Long,
) {
    private var lastMillis = startMillis

    /** Largest sum of available and outstanding tokens, in micro-tokens. */
    public var capacityMicros: Long = 0
        private set

    /** Micro-tokens that can be reserved. Negative after an overdraft. */
    public var availableMicros: Long = 0
        private set

    /** Micro-tokens reserved, not yet settled or returned, and backed by capacity. */
    public var outstandingMicros: Long = 0
        private set

    /** Micro-tokens reserved whose capacity has been taken away. */
    public var orphanedMicros: Long = 0
        private set

    /** Refill in micro-tokens per millisecond. */
    public var refillMicrosPerMilli: Long = 0
        private set

    /** Capacity that neither available nor outstanding tokens use. */
    public val roomMicros: Long get() = capacityMicros - outstandingMicros - availableMicros

    /** Adds the refill up to [nowMillis]. An earlier time than the last one changes nothing. */
    public fun advance(nowMillis: Long) {
        val elapsedMillis = nowMillis - lastMillis
        if (elapsedMillis <= 0) return
        lastMillis = nowMillis
        val room = roomMicros
        if (refillMicrosPerMilli <= 0 || room <= 0) return
        // Dividing first keeps the product within the room, so a long pause can't overflow.
        val full = elapsedMillis > room / refillMicrosPerMilli
        availableMicros += if (full) room else refillMicrosPerMilli * elapsedMillis
        check()
    }

    /** Sets capacity and refill. Available tokens beyond the new capacity are lost; then reservations are orphaned. */
    public fun resize(
        newCapacityMicros: Long,
        newRefillMicrosPerMilli: Long,
    ) {
        require(newCapacityMicros >= 0 && newRefillMicrosPerMilli >= 0) { "negative capacity or refill" }
        capacityMicros = newCapacityMicros
        refillMicrosPerMilli = newRefillMicrosPerMilli
        var excess = -roomMicros
        if (excess > 0) {
            val lost = minOf(excess, maxOf(availableMicros, 0))
            availableMicros -= lost
            excess -= lost
            outstandingMicros -= excess
            orphanedMicros += excess
        }
        check()
    }

    /** Reserves [micros] if they are available. */
    public fun reserve(micros: Long): Boolean {
        require(micros >= 0) { "negative reservation" }
        if (micros > availableMicros) return false
        availableMicros -= micros
        outstandingMicros += micros
        check()
        return true
    }

    /** Counts [micros] of a reservation as used. */
    public fun settle(micros: Long) {
        require(micros in 0..outstandingMicros + orphanedMicros) { "more settled than outstanding" }
        val backed = minOf(micros, outstandingMicros)
        outstandingMicros -= backed
        orphanedMicros -= micros - backed
        check()
    }

    /** Returns [micros] of a reservation that were not used. */
    public fun giveBack(micros: Long) {
        require(micros in 0..outstandingMicros + orphanedMicros) { "more returned than outstanding" }
        val lost = minOf(micros, orphanedMicros)
        orphanedMicros -= lost
        outstandingMicros -= micros - lost
        availableMicros += micros - lost
        check()
    }

    /** Counts [micros] as used that no reservation covers. */
    public fun overdraw(micros: Long) {
        require(micros >= 0) { "negative overdraft" }
        availableMicros -= micros
    }

    /** Takes [micros] of the available tokens away. */
    public fun withdraw(micros: Long) {
        require(micros in 0..maxOf(availableMicros, 0)) { "more withdrawn than available" }
        availableMicros -= micros
    }

    /** Adds [micros] as far as they fit and returns what was added. */
    public fun deposit(micros: Long): Long {
        require(micros >= 0) { "negative deposit" }
        val added = minOf(micros, roomMicros)
        availableMicros += added
        check()
        return added
    }

    private fun check() {
        check(outstandingMicros >= 0 && orphanedMicros >= 0 && roomMicros >= 0) {
            "bucket invariant broken: capacity=$capacityMicros available=$availableMicros " +
                "outstanding=$outstandingMicros orphaned=$orphanedMicros"
        }
    }
}
