package lacewingweir.state.time

/**
 * A clock that never goes backwards and has no relation to the wall clock.
 *
 * Readings of different processes are not comparable. Deadlines of leases, rate loans and proofs of contact use this
 * clock, so that an adjustment of the wall clock can't extend them.
 */
public fun interface MonotonicClock {
    /** Milliseconds since an arbitrary origin. */
    public fun nowMillis(): Long

    public companion object {
        /** The monotonic clock of this process. */
        public val SYSTEM: MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }

        private const val NANOS_PER_MILLI: Long = 1_000_000
    }
}
