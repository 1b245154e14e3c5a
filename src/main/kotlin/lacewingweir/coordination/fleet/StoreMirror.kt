/**
 * Reports the store items under a prefix to a listener: first a listing of all items, then changes from successive long
 * polls of the store's watch.
 *
 * A watch that returns no changes after its full wait proves that nothing had changed by the end of the wait. Any other
 * response proves only that the listener knows all changes up to the time when the call was sent. Failed calls are
 * retried after a short delay, since a longer one would let the contact proof expire.
 *
 * Between two proofs, something may have changed and changed back. Who must rule that out asks for a proof of now,
 * which takes a call of its own.
 *
 * Each change ends the watches of all instances. Changes that follow soon are gathered into one response, so that a
 * fleet that changes all the time doesn't exceed the store's rate of calls.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.WatchResult
import lacewingweir.coordination.store.eraOf
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** Receives the items and changes of a mirror, in order. */
internal interface MirrorListener {
    /** Called after a listing with all items under the prefix. Keys that are missing no longer exist. */
    fun onListed(changes: List<StoreChange>)

    fun onChanged(changes: List<StoreChange>)

    /** Called before a listing if the store was restored from an older copy since the previous one. */
    fun onRestored() = Unit

    /** Called when the store responds again after failed calls, before the items or changes of the response. */
    fun onContactRestored()
}

internal class StoreMirror(
    private val store: ClusterStore,
    private val prefix: String,
    private val waitMillis: Long,
    private val clock: SuspendAwareClock,
    private val proof: StoreContactProof?,
    private val listener: MirrorListener,
    private val random: Random = Random.Default,
) {
    private var failures = 0
    private var listedEra: Long? = null

    /** All changes up to this revision were applied; null before the first listing. */
    private var appliedRevision: Long? = null
    private val checks = Mutex()
    private var checkedAt: ClockReading? = null

    /** Mirrors the store until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            try {
                var revision = list()
                while (revision != null) revision = watch(revision)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // Ending the mirror would leave the instance unable to serve until a restart, so one bad item must not
                // end it.
                logger.error(e) { "mirror: failed prefix=$prefix; listing again" }
                handleFailure("apply", "exception")
            }
        }
    }

    /**
     * Returns whether the listener knows all changes that the store had acknowledged when this function was called. If
     * the proof is older, the store is asked, for at most [CHECK_TIMEOUT_MILLIS]. Callers at the same time share the
     * calls. Must be called on the thread of [run].
     */
    suspend fun proveCurrent(): Boolean {
        val since = clock.now()
        return withTimeoutOrNull(CHECK_TIMEOUT_MILLIS) {
            while (!isProvedSince(since)) checks.withLock { if (!isProvedSince(since)) check() }
            true
        } ?: false
    }

    private fun isProvedSince(since: ClockReading): Boolean {
        val provedAt = proof?.moment ?: return false
        return provedAt.monotonicMillis >= since.monotonicMillis
    }

    private suspend fun check() {
        checkedAt?.let { delay(MIN_CHECK_INTERVAL_MILLIS - clock.ageMillis(it)) }
        val sentAt = clock.now()
        checkedAt = sentAt
        val revision = appliedRevision ?: return
        val result = store.watch(prefix, revision, waitMillis = 0)
        // After a listing of a restored store, a response from before it says nothing.
        if (result is WatchResult.Changes && eraOf(result.revision) == eraOf(appliedRevision ?: revision)) {
            applyChanges(result, provedAt = sentAt)
        }
    }

    private suspend fun list(): Long? {
        val sentAt = clock.now()
        return when (val result = store.range(prefix)) {
            is StoreResult.Ok -> {
                logger.info {
                    "mirror: listed prefix=$prefix items=${result.value.items.size} revision=${result.value.revision}"
                }
                val era = eraOf(result.value.revision)
                handleResponse(sentAt) {
                    if (era != (listedEra ?: era)) {
                        logger.warn { "mirror: store was restored from an older copy prefix=$prefix era=$era" }
                        listener.onRestored()
                    }
                    listedEra = era
                    listener.onListed(result.value.items.map { StoreChange(it.key, it.revision, it.value) })
                    appliedRevision = result.value.revision
                }
                result.value.revision
            }
            is StoreResult.Unavailable -> handleFailure("list", result.reason)
            is StoreResult.Unknown -> handleFailure("list", result.reason)
        }
    }

    /** Returns the revision to continue from, or null if the items have to be listed again. */
    private suspend fun watch(revision: Long): Long? {
        val sentAt = clock.now()
        return when (val result = store.watch(prefix, revision, waitMillis)) {
            is WatchResult.Changes -> {
                val waitedInFull = result.changes.isEmpty() && clock.ageMillis(sentAt) >= waitMillis
                applyChanges(result, provedAt = if (waitedInFull) sentAt.plus(waitMillis) else sentAt)
                delay(MIN_WATCH_INTERVAL_MILLIS - clock.ageMillis(sentAt))
                maxOf(revision, appliedRevision ?: revision)
            }
            WatchResult.HistoryGone -> {
                logger.warn { "mirror: history after revision=$revision was compacted prefix=$prefix; listing again" }
                null
            }
            is WatchResult.Unreadable -> {
                logger.warn { "mirror: changes after revision=$revision are unreadable: ${result.reason}" }
                delay(RETRY_MIN_MILLIS)
                null
            }
            is WatchResult.Failed -> {
                handleFailure("watch", result.reason)
                revision
            }
        }
    }

    private fun applyChanges(
        result: WatchResult.Changes,
        provedAt: ClockReading,
    ) = handleResponse(provedAt) {
        if (result.changes.isNotEmpty()) listener.onChanged(result.changes)
        appliedRevision = maxOf(appliedRevision ?: 0, result.revision)
    }

    private fun handleResponse(
        provedAt: ClockReading,
        apply: () -> Unit,
    ) {
        if (failures > 0) {
            logger.info { "mirror: store available again prefix=$prefix failures=$failures" }
            listener.onContactRestored()
        }
        failures = 0
        // Changes are applied first, so that the proof never covers a change that has not been applied.
        apply()
        proof?.prove(provedAt)
    }

    private suspend fun handleFailure(
        call: String,
        reason: String,
    ): Long? {
        if (failures++ == 0) logger.warn { "mirror: store unavailable call=$call prefix=$prefix reason=$reason" }
        delay((RETRY_MIN_MILLIS + random.nextLong(RETRY_SPREAD_MILLIS)))
        return null
    }

    private companion object {
        /**
         * Minimum time between the starts of two watch calls, and greatest delay of changes that are gathered. Well
         * below the two seconds in which a configuration or the leaving of an endpoint must be in force. After a
         * change, the contact proof gets as old as this interval and a whole wait together.
         */
        const val MIN_WATCH_INTERVAL_MILLIS: Long = 700

        /**
         * Short compared to the maximum age of the contact proof, long compared to the store's response time of
         * milliseconds.
         */
        const val RETRY_MIN_MILLIS: Long = 200

        /** Time for a response of the store when it is slow, short compared to the patience of callers. */
        const val CHECK_TIMEOUT_MILLIS: Long = 500

        /** Bounds the calls of an instance that is asked for a proof by many callers at once. */
        const val MIN_CHECK_INTERVAL_MILLIS: Long = 200

        /** Spreads the retries of instances that lost the store at the same time. */
        const val RETRY_SPREAD_MILLIS: Long = 200
    }
}
