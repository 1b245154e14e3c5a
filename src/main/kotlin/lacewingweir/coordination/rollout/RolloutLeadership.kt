package lacewingweir.coordination.rollout

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.id.InstanceName
import lacewingweir.state.time.MonotonicClock
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Elects the rollout leader by compare-and-set on one key.
 *
 * A leader's term ends [leaseMillis] after it sent its last successful renewal, measured on its own clock. Another
 * instance takes over once the key has remained at the same revision for more than [leaseMillis], measured on its own
 * clock from the time it first read that revision. The renewal was applied after it was sent and before it was read,
 * so terms don't overlap as long as the clocks run at about the same rate. Store leases are not used, because an
 * expired lease deletes its keys and nothing under `/lw/` may be deleted.
 */
internal class RolloutLeadership(
    private val self: InstanceName,
    private val store: ConfigStore,
    private val clock: MonotonicClock,
    private val random: Random,
    private val leaseMillis: Long,
    private val periodMillis: Long,
) {
    private class ObservedRevision(
        val modRevision: Long,
        val firstSeenMillis: Long,
        val extraWaitMillis: Long,
    )

    private class HeldTerm(
        val term: RolloutTerm,
        val validUntilMillis: Long,
    )

    private val raiseRequested = AtomicBoolean()
    private var observed: ObservedRevision? = null

    @Volatile
    private var held: HeldTerm? = null

    /** Returns the fencing token if the leadership is held for at least [marginMillis] more, or null otherwise. */
    fun fencingToken(marginMillis: Long = 0): Long? =
        held?.takeIf { clock.nowMillis() + marginMillis < it.validUntilMillis }?.term?.fencingToken

    /** Renews the leadership if it is held, or tries to acquire it if it is free. */
    suspend fun update() {
        val current = held
        if (current != null && clock.nowMillis() >= current.validUntilMillis) {
            logger.warn { "rollout: leadership ${current.term.fencingToken} of $self ended before it could be renewed" }
            held = null
        }
        val entry = (store.get(KEY) as? StoreResult.Ok ?: return).value
        val storedTerm = entry?.let { decode(it) }
        if (entry != null && storedTerm == null) return
        val term = held?.term
        when {
            term == null -> acquireIfFree(entry, storedTerm)
            storedTerm?.term == term.term && !storedTerm.resigned -> write(entry.modRevision, renewed(storedTerm))
            else -> {
                logger.warn { "rollout: leadership ${term.fencingToken} of $self was taken over" }
                held = null
            }
        }
    }

    private fun renewed(term: RolloutTerm): RolloutTerm {
        val increment = if (raiseRequested.getAndSet(false)) 1 else 0
        return term.copy(renewal = term.renewal + 1, fencingToken = term.fencingToken + increment)
    }

    /**
     * Makes the next renewal raise the fencing token.
     *
     * After the store was restored from a backup, engines may have seen higher fencing tokens than the current one.
     * Only the holder of the key can renew, so a previous leader can't raise its token this way.
     */
    fun raiseFencingToken() {
        raiseRequested.set(true)
    }

    /** Resigns as leader, so that another instance doesn't have to wait for the term to expire. */
    suspend fun resign() {
        val current = held ?: return
        held = null
        val entry = (store.get(KEY) as? StoreResult.Ok ?: return).value ?: return
        if (decode(entry)?.term != current.term.term) return
        store.compareAndSet(KEY, entry.modRevision, current.term.copy(resigned = true).encode())
    }

    private suspend fun acquireIfFree(
        entry: StoreEntry?,
        storedTerm: RolloutTerm?,
    ) {
        val revision = entry?.modRevision ?: 0
        if (storedTerm != null && !storedTerm.resigned && !hasExpired(revision)) return
        val newTerm = RolloutTerm(self.value, UUID.randomUUID().toString(), (storedTerm?.fencingToken ?: 0) + 1)
        if (write(revision, newTerm)) logger.info { "rollout: $self leads with fencing token ${newTerm.fencingToken}" }
    }

    private fun hasExpired(revision: Long): Boolean {
        val now = clock.nowMillis()
        val last = observed
        if (last == null || last.modRevision != revision) {
            // The random extra wait spreads the takeover attempts of a large fleet over one period.
            observed = ObservedRevision(revision, now, random.nextLong(periodMillis + 1))
            return false
        }
        val wait = (leaseMillis * CLOCK_RATE_MARGIN).toLong() + EXTRA_WAIT_MILLIS + last.extraWaitMillis
        return now - last.firstSeenMillis >= wait
    }

    private suspend fun write(
        revision: Long,
        newTerm: RolloutTerm,
    ): Boolean {
        val sentMillis = clock.nowMillis()
        val applied =
            when (val written = store.compareAndSet(KEY, revision, newTerm.encode())) {
                is StoreResult.Ok -> written.value
                is StoreResult.Unavailable -> return false
                is StoreResult.Unknown -> readBack() == newTerm
            }
        if (applied) {
            held = HeldTerm(newTerm, sentMillis + leaseMillis)
        } else {
            observed = null
        }
        return applied
    }

    private suspend fun readBack(): RolloutTerm? = (store.get(KEY) as? StoreResult.Ok)?.value?.let(::decode)

    private fun decode(entry: StoreEntry): RolloutTerm? =
        try {
            RolloutTerm.decode(entry.value)
        } catch (e: SerializationException) {
            logger.error { "rollout: $KEY is unreadable: ${e.message}" }
            null
        }

    private companion object {
        const val KEY: String = "/lw/rollout"
        const val CLOCK_RATE_MARGIN: Double = 1.01
        const val EXTRA_WAIT_MILLIS: Long = 500
    }
}
