package lacewingweir.coordination.membership

import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.AtomicLong

/**
 * A [ContactProof] based on the latest contact with the store or with a majority of the members. Each contact counts
 * from the time at which its request was sent.
 */
public class ContactTracker(
    private val clock: MonotonicClock,
) : ContactProof {
    private val lastStoreContact = AtomicLong(NEVER)
    private val lastMajorityContact = AtomicLong(NEVER)

    /** Records a successful poll of the store that was sent at [sentAtMillis]. */
    public fun recordStoreContact(sentAtMillis: Long) {
        lastStoreContact.accumulateAndGet(sentAtMillis, ::maxOf)
    }

    /**
     * Records a round of heartbeats, sent at [sentAtMillis], that a majority acknowledged. Returns whether it is later
     * than all recorded before.
     */
    public fun recordMajorityContact(sentAtMillis: Long): Boolean =
        lastMajorityContact.getAndAccumulate(sentAtMillis, ::maxOf) < sentAtMillis

    override fun ageMillis(): Long = age(maxOf(lastStoreContact.get(), lastMajorityContact.get()))

    /** Returns the age in milliseconds of the latest contact with a majority, or [Long.MAX_VALUE] if there is none. */
    public fun majorityAgeMillis(): Long = age(lastMajorityContact.get())

    private fun age(contactMillis: Long): Long =
        if (contactMillis == NEVER) Long.MAX_VALUE else clock.nowMillis() - contactMillis

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
