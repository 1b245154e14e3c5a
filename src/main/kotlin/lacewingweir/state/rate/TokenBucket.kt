/*
 * Token accounting for one customer in one instance: bucket, lent and borrowed loans, demand and borrowing policy.
 *
 * The classes of this package are not thread-safe: the caller holds the customer's lock and passes the current time.
 * Amounts are integer micro-tokens and refill is integer micro-tokens per millisecond, so that rounding never adds
 * tokens.
 */
package lacewingweir.state.rate

/** Micro-tokens in one token. */
public const val MICROS_PER_TOKEN: Long = 1_000_000

/** Micro-tokens per millisecond in one token per second. */
public const val MICROS_PER_MILLI_IN_TOKEN_PER_SECOND: Long = 1_000

/**
 * A token bucket that also tracks tokens that are reserved but not yet consumed.
 *
 * `available + outstanding <= capacity` holds after every call. If the capacity shrinks below the outstanding tokens,
 * the excess becomes orphaned: orphaned tokens may still be consumed, but are lost if released. Releases take orphaned
 * tokens first, and consumption takes outstanding tokens first. In any other order a release could make tokens
 * available that another reservation has consumed.
 */
public class TokenBucket(
    startMillis: Long,
) {
    private var lastMillis = startMillis

    /** The upper bound of available plus outstanding tokens, in micro-tokens. */
    public var capacityMicros: Long = 0
        private set

    /** Micro-tokens that can be reserved. Negative after an overdraft. */
    public var availableMicros: Long = 0
        private set

    /** Reserved micro-tokens that are backed by capacity and neither consumed nor released. */
    public var outstandingMicros: Long = 0
        private set

    /** Reserved micro-tokens that are no longer backed by capacity. */
    public var orphanedMicros: Long = 0
        private set

    /** Refill in micro-tokens per millisecond. */
    public var refillMicrosPerMilli: Long = 0
        private set

    /** Capacity that is neither available nor outstanding, in micro-tokens. */
    public val freeCapacityMicros: Long get() = capacityMicros - outstandingMicros - availableMicros

    /** Adds the refill up to [nowMillis]. Does nothing if [nowMillis] is not later than in the previous calls. */
    public fun advance(nowMillis: Long) {
        val elapsedMillis = nowMillis - lastMillis
        if (elapsedMillis <= 0) return
        lastMillis = nowMillis
        val freeMicros = freeCapacityMicros
        if (refillMicrosPerMilli <= 0 || freeMicros <= 0) return
        // Dividing first bounds the product by the free capacity, so a long pause can't cause an overflow.
        val fillsUp = elapsedMillis > freeMicros / refillMicrosPerMilli
        availableMicros += if (fillsUp) freeMicros else refillMicrosPerMilli * elapsedMillis
        checkInvariant()
    }

    /**
     * Sets capacity and refill.
     *
     * If the tokens exceed the new capacity, available tokens are discarded first, then outstanding ones are orphaned.
     *
     * @throws IllegalArgumentException if an argument is negative.
     */
    public fun resize(
        newCapacityMicros: Long,
        newRefillMicrosPerMilli: Long,
    ) {
        require(newCapacityMicros >= 0 && newRefillMicrosPerMilli >= 0) { "capacity and refill must not be negative" }
        capacityMicros = newCapacityMicros
        refillMicrosPerMilli = newRefillMicrosPerMilli
        var excess = -freeCapacityMicros
        if (excess > 0) {
            val discarded = minOf(excess, maxOf(availableMicros, 0))
            availableMicros -= discarded
            excess -= discarded
            outstandingMicros -= excess
            orphanedMicros += excess
        }
        checkInvariant()
    }

    /** Reserves [micros] and returns true, or returns false if they are not available. */
    public fun reserve(micros: Long): Boolean {
        require(micros >= 0) { "reservation must not be negative" }
        if (micros > availableMicros) return false
        availableMicros -= micros
        outstandingMicros += micros
        checkInvariant()
        return true
    }

    /** Consumes [micros] that were reserved. */
    public fun consume(micros: Long) {
        require(micros in 0..outstandingMicros + orphanedMicros) { "consumed tokens exceed the reserved ones" }
        val backed = minOf(micros, outstandingMicros)
        outstandingMicros -= backed
        orphanedMicros -= micros - backed
        checkInvariant()
    }

    /** Releases [micros] that were reserved and not consumed. */
    public fun release(micros: Long) {
        require(micros in 0..outstandingMicros + orphanedMicros) { "released tokens exceed the reserved ones" }
        val discarded = minOf(micros, orphanedMicros)
        orphanedMicros -= discarded
        outstandingMicros -= micros - discarded
        availableMicros += micros - discarded
        checkInvariant()
    }

    /** Consumes [micros] that were not reserved. The available amount may become negative. */
    public fun overdraw(micros: Long) {
        require(micros >= 0) { "overdraft must not be negative" }
        availableMicros -= micros
    }

    /** Removes [micros] from the available tokens. */
    public fun removeTokens(micros: Long) {
        require(micros in 0..maxOf(availableMicros, 0)) { "removed tokens exceed the available ones" }
        availableMicros -= micros
    }

    /** Adds up to [micros] to the available tokens, limited by the free capacity, and returns the amount added. */
    public fun addTokens(micros: Long): Long {
        require(micros >= 0) { "added tokens must not be negative" }
        val added = minOf(micros, freeCapacityMicros)
        availableMicros += added
        checkInvariant()
        return added
    }

    private fun checkInvariant() {
        check(outstandingMicros >= 0 && orphanedMicros >= 0 && freeCapacityMicros >= 0) {
            "bucket invariant violated: capacity=$capacityMicros available=$availableMicros " +
                "outstanding=$outstandingMicros orphaned=$orphanedMicros"
        }
    }
}
