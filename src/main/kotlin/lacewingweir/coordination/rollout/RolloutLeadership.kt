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
 * Election of the rollout leader by compare-and-set on one key.
 *
 * A leader's right ends [leaseMillis] after the send of its last successful renewal, on its own clock. Another
 * instance takes over once it has seen the key unchanged for longer than that, on its own clock, beginning after its
 * read. The renewal was applied between the two, so the rights don't overlap as long as the clocks run at about the
 * same rate. No store lease is used, because nothing under `/lw/` may be deleted.
 */
internal class RolloutLeadership(
    private val self: InstanceName,
    private val store: ConfigStore,
    private val clock: MonotonicClock,
    private val random: Random,
    private val leaseMillis: Long,
    private val periodMillis: Long,
) {
    private class Observed(
        val modRevision: Long,
        val sinceMillis: Long,
        val extraWaitMillis: Long,
    )

    private class Held(
        val term: RolloutTerm,
        val validUntilMillis: Long,
    )

    private val raise = AtomicBoolean()
    private var observed: Observed? = null

    @Volatile
    private var held: Held? = null

    /** The fencing number of the present leadership, or null if none is held for at least [marginMillis] more. */
    fun fencingToken(marginMillis: Long = 0): Long? =
        held?.takeIf { clock.nowMillis() + marginMillis < it.validUntilMillis }?.term?.fencingToken

    /** Renews a leadership that is held, or takes one that is free. */
    suspend fun update() {
        val own = held
        if (own != null && clock.nowMillis() >= own.validUntilMillis) {
            logger.warn { "rollout: leadership ${own.term.fencingToken} of $self ended before it could be renewed" }
            held = null
        }
        val entry = (store.get(KEY) as? StoreResult.Ok ?: return).value
        val found = entry?.let { decode(it) }
        if (entry != null && found == null) return
        val term = held?.term
        when {
            term == null -> takeIfFree(entry, found)
            found?.term == term.term && !found.resigned -> write(entry.modRevision, renewed(found))
            else -> {
                logger.warn { "rollout: leadership ${term.fencingToken} of $self was taken over" }
                held = null
            }
        }
    }

    private fun renewed(term: RolloutTerm): RolloutTerm {
        val step = if (raise.getAndSet(false)) 1 else 0
        return term.copy(renewal = term.renewal + 1, fencingToken = term.fencingToken + step)
    }

    /**
     * Makes the next renewal raise the fencing number. After the store was restored from an older copy, engines may
     * have seen higher numbers than the present one. Only the holder of the key can renew, so a former leader gains
     * nothing by it.
     */
    fun raiseFencingToken() {
        raise.set(true)
    }

    /** Gives the leadership up, so that another instance needn't wait for its end. */
    suspend fun resign() {
        val own = held ?: return
        held = null
        val entry = (store.get(KEY) as? StoreResult.Ok ?: return).value ?: return
        if (decode(entry)?.term != own.term.term) return
        store.compareAndSet(KEY, entry.modRevision, own.term.copy(resigned = true).encode())
    }

    private suspend fun takeIfFree(
        entry: StoreEntry?,
        found: RolloutTerm?,
    ) {
        val revision = entry?.modRevision ?: 0
        if (found != null && !found.resigned && !unchangedLongEnough(revision)) return
        val next = RolloutTerm(self.value, UUID.randomUUID().toString(), (found?.fencingToken ?: 0) + 1)
        if (write(revision, next)) logger.info { "rollout: $self leads with fencing number ${next.fencingToken}" }
    }

    private fun unchangedLongEnough(revision: Long): Boolean {
        val now = clock.nowMillis()
        val last = observed
        if (last == null || last.modRevision != revision) {
            // The random part spreads the takeover attempts of a large fleet over one period.
            observed = Observed(revision, now, random.nextLong(periodMillis + 1))
            return false
        }
        val wait = (leaseMillis * CLOCK_RATE_MARGIN).toLong() + EXTRA_WAIT_MILLIS + last.extraWaitMillis
        return now - last.sinceMillis >= wait
    }

    private suspend fun write(
        revision: Long,
        next: RolloutTerm,
    ): Boolean {
        val sentMillis = clock.nowMillis()
        val applied =
            when (val written = store.compareAndSet(KEY, revision, next.encode())) {
                is StoreResult.Ok -> written.value
                is StoreResult.Unavailable -> return false
                is StoreResult.Unknown -> readBack() == next
            }
        if (applied) {
            held = Held(next, sentMillis + leaseMillis)
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
