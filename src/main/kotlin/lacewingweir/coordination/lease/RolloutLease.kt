/**
 * A lease under which one instance at a time coordinates the loading of weights, or decides on rollouts of software
 * versions.
 *
 * The store revision at which the lease's key was created is the fencing token of all commands sent under the lease. It
 * contains the store's era, so that tokens rise also when the store comes back from an older copy.
 * The holder stops sending commands well before the lease can expire, and doesn't treat an acquisition or renewal
 * without a response as successful.
 */
package lacewingweir.coordination.lease

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.state.time.ClockReading
import lacewingweir.state.time.SuspendAwareClock

private val logger = KotlinLogging.logger {}

internal class RolloutLease(
    private val store: ClusterStore,
    private val clock: SuspendAwareClock,
    private val key: String,
    private val holder: String,
    private val ttlMillis: Long,
    private val logPrefix: String = "rollout",
) {
    private class HeldLease(
        val leaseId: Long,
        val fencingToken: Long,
        var renewedAt: ClockReading,
    )

    private var held: HeldLease? = null

    /** Returns the fencing token for commands, or null if this instance must not send any now. */
    fun fencingToken(): Long? = held?.takeIf { clock.ageMillis(it.renewedAt) < ttlMillis * USABLE_SHARE }?.fencingToken

    /** Whether a lease is held. It may be too old for commands, but can still be renewed. */
    val isHeld: Boolean
        get() = held != null

    /** Tries to acquire the lease. Returns whether it was acquired. */
    suspend fun acquire(): Boolean {
        val sentAt = clock.now()
        val leaseId = store.grantLease(ttlMillis).valueOrNull() ?: return false
        val transaction =
            StoreTransaction(mapOf(key to 0L), listOf(StoreWrite(key, holder.encodeToByteArray(), leaseId)))
        val result = store.commit(transaction)
        val committed = result.valueOrNull() as? CommitResult.Committed
        if (committed == null) {
            // A commit without a response may still take effect. Ending its lease makes the store delete the key.
            store.endLease(leaseId)
            logger.info { "$logPrefix: lease not acquired result=$result" }
            return false
        }
        held = HeldLease(leaseId, committed.revision, sentAt)
        logger.info { "$logPrefix: lease acquired fence=${committed.revision}" }
        return true
    }

    /** Renews the lease, and discards it if the store has ended it or it couldn't be renewed in time. */
    suspend fun renew() {
        val current = held ?: return
        val sentAt = clock.now()
        when (val result = store.renewLease(current.leaseId)) {
            is StoreResult.Ok -> if (result.value) current.renewedAt = sentAt else discard("ended")
            is StoreResult.Unavailable, is StoreResult.Unknown ->
                if (clock.ageMillis(current.renewedAt) > ttlMillis) discard("not renewed in time")
        }
    }

    /** Ends the lease, because an engine has seen a higher fencing token or the instance is stopping. */
    suspend fun release(reason: String) {
        val current = held ?: return
        discard(reason)
        store.endLease(current.leaseId)
    }

    private fun discard(reason: String) {
        logger.warn { "$logPrefix: lease given up fence=${held?.fencingToken} reason=$reason" }
        held = null
    }

    private companion object {
        /**
         * Part of the time to live in which commands are sent. The rest covers their transit and differing clock rates.
         */
        const val USABLE_SHARE: Double = 0.6
    }
}
