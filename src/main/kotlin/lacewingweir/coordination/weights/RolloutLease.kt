/**
 * The lease under which one instance at a time coordinates the loading of weights.
 *
 * The revision at which the item was created is the fence of all orders given under it. A holder stops by itself well
 * before its lease can end, and never counts on the lease after a call that got no answer.
 */
package lacewingweir.coordination.weights

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.state.time.Moment
import lacewingweir.state.time.SuspendAwareClock

private val logger = KotlinLogging.logger {}

internal class RolloutLease(
    private val store: ClusterStore,
    private val clock: SuspendAwareClock,
    private val key: String,
    private val holder: String,
    private val ttlMillis: Long,
) {
    private class Held(
        val leaseId: Long,
        val fencingToken: Long,
        var renewedAt: Moment,
    )

    private var held: Held? = null

    /** The fence to give orders under, or null if this instance must not give any now. */
    fun fencingToken(): Long? = held?.takeIf { clock.ageMillis(it.renewedAt) < ttlMillis * USABLE_SHARE }?.fencingToken

    /** Whether a lease is held that is too old to be used but may be renewed. */
    val holding: Boolean
        get() = held != null

    /** Tries to take the lease. */
    suspend fun acquire(): Boolean {
        val sentAt = clock.now()
        val leaseId = store.grantLease(ttlMillis).valueOrNull() ?: return false
        val claim = StoreTransaction(mapOf(key to 0L), listOf(StoreWrite(key, holder.encodeToByteArray(), leaseId)))
        val result = store.commit(claim)
        val committed = result.valueOrNull() as? CommitResult.Committed
        if (committed == null) {
            // A claim without an answer may still take effect; without its lease it can't stay.
            store.endLease(leaseId)
            logger.info { "rollout: lease not taken result=$result" }
            return false
        }
        held = Held(leaseId, committed.revision, sentAt)
        logger.info { "rollout: lease taken fence=${committed.revision}" }
        return true
    }

    /** Renews the lease; gives it up if it has ended. */
    suspend fun renew() {
        val current = held ?: return
        val sentAt = clock.now()
        when (val result = store.renewLease(current.leaseId)) {
            is StoreResult.Ok -> if (result.value) current.renewedAt = sentAt else lost("ended")
            is StoreResult.Unavailable, is StoreResult.Unknown ->
                if (clock.ageMillis(current.renewedAt) > ttlMillis) lost("not renewed in time")
        }
    }

    /** Gives the lease up, because an engine has seen a higher fence or the instance stops. */
    suspend fun release(reason: String) {
        val current = held ?: return
        lost(reason)
        store.endLease(current.leaseId)
    }

    private fun lost(reason: String) {
        logger.warn { "rollout: lease given up fence=${held?.fencingToken} reason=$reason" }
        held = null
    }

    private companion object {
        /** Part of the lease's term in which orders are given; the rest covers their way and clock rates. */
        const val USABLE_SHARE: Double = 0.6
    }
}
