/**
 * Tells a run of an instance whether another one may have ended shortly before.
 *
 * Each run keeps an item in the store under a lease that outlasts it. A run that doesn't find the item of an earlier
 * one follows none, and needs no caution on account of what that may have done.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.coordination.time.TimerService

private val logger = KotlinLogging.logger {}

/** Keeps the item [key], which outlasts the run by at least [memoryMillis]. */
internal class RunMarker(
    private val store: ClusterStore,
    private val timers: TimerService,
    private val key: String,
    private val memoryMillis: Long,
) {
    private var leaseId: Long? = null
    private var answered = false

    /** Whether an earlier run may have ended within the last [memoryMillis], which is so until the store denies it. */
    @Volatile
    var mayFollowRun = true
        private set

    suspend fun start() {
        try {
            keepMarked()
        } finally {
            timers.every("run marker", RENEW_MILLIS) { keepMarked() }
        }
    }

    private suspend fun keepMarked() {
        val renewed = leaseId?.let { store.renewLease(it).valueOrNull() ?: return }
        if (renewed != true) mark()
    }

    private suspend fun mark() {
        leaseId = null
        val lease = store.grantLease(memoryMillis + 2 * RENEW_MILLIS).valueOrNull() ?: return
        val write = StoreWrite(key, EMPTY, lease)
        var result = store.commit(StoreTransaction(expected = mapOf(key to 0L), writes = listOf(write))).valueOrNull()
        if (!answered && result != null) {
            answered = true
            mayFollowRun = result !is CommitResult.Committed
            logger.info { "run marker: follows a run=$mayFollowRun" }
        }
        if (result is CommitResult.Conflict) {
            result = store.commit(StoreTransaction(writes = listOf(write))).valueOrNull()
        }
        if (result is CommitResult.Committed) {
            leaseId = lease
        } else {
            logger.warn { "run marker: not written result=$result" }
        }
    }

    private companion object {
        const val RENEW_MILLIS: Long = 10_000
        val EMPTY = ByteArray(0)
    }
}
