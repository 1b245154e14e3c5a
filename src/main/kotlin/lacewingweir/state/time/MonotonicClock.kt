package lacewingweir.state.time

/**
 * A clock that never goes backwards and has no relation to the wall clock.
 *
 * Readings of two processes can't be compared. All deadlines of leases, loans and proofs use this clock, so that a
 * wall-clock step can't extend them.
 */
public fun interface MonotonicClock {
    /** Milliseconds since an arbitrary origin. */
    public fun nowMillis(): Long

    public companion object {
        /** The clock of this process. */
        public val SYSTEM: MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }

        private const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
