/**
 * Keeps a copy of the store's items: one listing, then one long watch after the other.
 *
 * A watch that ends without changes after its whole wait proves that nothing had changed when the wait ended; any
 * other answer proves it for the moment at which the call was sent. Calls that fail are repeated after a short delay,
 * since waiting longer would let the contact proof lapse.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.WatchResult
import lacewingweir.state.time.Moment
import lacewingweir.state.time.SuspendAwareClock
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Takes what the mirror learns, in order. */
internal interface MirrorListener {
    /** All keys of the store under the prefix, after a listing. Keys that are missing no longer exist. */
    fun onListed(changes: List<StoreChange>)

    fun onChanged(changes: List<StoreChange>)

    /** The store answers again after calls had failed. */
    fun onContactRestored()
}

internal class StoreMirror(
    private val store: ClusterStore,
    private val prefix: String,
    private val waitMillis: Long,
    private val clock: SuspendAwareClock,
    private val proof: ContactProof?,
    private val listener: MirrorListener,
    private val random: Random = Random.Default,
) {
    private var failures = 0

    /** Runs until it is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            try {
                var revision = list()
                while (revision != null) revision = watch(revision)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // Without the mirror the instance would serve nobody for good, whatever one item made of it.
                logger.error(e) { "mirror: failed prefix=$prefix; listing again" }
                failed("apply", "exception")
            }
        }
    }

    private suspend fun list(): Long? {
        val sentAt = clock.now()
        return when (val result = store.range(prefix)) {
            is StoreResult.Ok -> {
                logger.info {
                    "mirror: listed prefix=$prefix items=${result.value.items.size} revision=${result.value.revision}"
                }
                answered(sentAt) {
                    listener.onListed(result.value.items.map { StoreChange(it.key, it.revision, it.value) })
                }
                result.value.revision
            }
            is StoreResult.Unavailable -> failed("list", result.reason)
            is StoreResult.Unknown -> failed("list", result.reason)
        }
    }

    /** Returns the revision to continue from, or null if the items have to be listed again. */
    private suspend fun watch(revision: Long): Long? {
        val sentAt = clock.now()
        return when (val result = store.watch(prefix, revision, waitMillis)) {
            is WatchResult.Changes -> {
                val waited = result.changes.isEmpty() && clock.ageMillis(sentAt) >= waitMillis
                answered(if (waited) sentAt.plus(waitMillis) else sentAt) {
                    if (result.changes.isNotEmpty()) listener.onChanged(result.changes)
                }
                maxOf(revision, result.revision)
            }
            WatchResult.HistoryGone -> {
                logger.warn { "mirror: history after revision=$revision is gone prefix=$prefix; listing again" }
                null
            }
            is WatchResult.Failed -> {
                failed("watch", result.reason)
                revision
            }
        }
    }

    private fun answered(
        provedAt: Moment,
        apply: () -> Unit,
    ) {
        if (failures > 0) {
            logger.info { "mirror: store regained prefix=$prefix failures=$failures" }
            listener.onContactRestored()
        }
        failures = 0
        // Applied before the proof is renewed, so that no request is served on the proof without the change.
        apply()
        proof?.prove(provedAt)
    }

    private suspend fun failed(
        call: String,
        reason: String,
    ): Long? {
        if (failures++ == 0) logger.warn { "mirror: store lost call=$call prefix=$prefix reason=$reason" }
        delay((RETRY_MIN_MILLIS + random.nextLong(RETRY_SPREAD_MILLIS)))
        return null
    }

    private companion object {
        /** Short against the contact proof's bound, long against the store's answer time of milliseconds. */
        const val RETRY_MIN_MILLIS: Long = 200

        /** Keeps instances that lost the store together from returning together. */
        const val RETRY_SPREAD_MILLIS: Long = 200
    }
}
