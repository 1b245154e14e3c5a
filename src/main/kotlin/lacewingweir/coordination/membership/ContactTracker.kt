package lacewingweir.coordination.membership

import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.AtomicLong

/** [ContactProof] from the newest of the proofs by the store and by a majority, each given by its send time. */
public class ContactTracker(
    private val clock: MonotonicClock,
) : ContactProof {
    private val store = AtomicLong(NEVER)
    private val majority = AtomicLong(NEVER)

    /** Takes a successful poll of the store that was sent at [sentAtMillis]. */
    public fun recordStoreContact(sentAtMillis: Long) {
        store.accumulateAndGet(sentAtMillis, ::maxOf)
    }

    /**
     * Takes a round of heartbeats, sent at [sentAtMillis], that a majority acknowledged. Returns whether it is new.
     */
    public fun recordMajorityContact(sentAtMillis: Long): Boolean =
        majority.getAndAccumulate(sentAtMillis, ::maxOf) < sentAtMillis

    override fun ageMillis(): Long = age(maxOf(store.get(), majority.get()))

    /** Age of the newest proof by a majority; [Long.MAX_VALUE] if there was none. */
    public fun majorityAgeMillis(): Long = age(majority.get())

    private fun age(provenMillis: Long): Long =
        if (provenMillis == NEVER) Long.MAX_VALUE else clock.nowMillis() - provenMillis

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
