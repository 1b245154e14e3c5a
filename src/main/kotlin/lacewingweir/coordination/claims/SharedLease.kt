package lacewingweir.coordination.claims

import kotlinx.coroutines.CompletableDeferred
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.AtomicReference

/**
 * A store lease shared by many keys, so that not every key needs its own lease.
 *
 * A lease is attached to new keys for [SHARING_MILLIS] after its request. Its TTL is [minTtlSeconds] plus that time,
 * so that every key lives for at least [minTtlSeconds]. Concurrent callers wait for the same grant.
 */
internal class SharedLease(
    private val store: ConfigStore,
    private val clock: MonotonicClock,
    private val minTtlSeconds: Long,
) {
    private class Grant(
        val requestedMillis: Long,
        val result: CompletableDeferred<StoreResult<Long>> = CompletableDeferred(),
    )

    private val current = AtomicReference<Grant?>(null)

    /** Returns the id of the current lease, and requests a new lease if there is none or its sharing time is over. */
    suspend fun currentId(): StoreResult<Long> {
        while (true) {
            val grant = current.get()
            if (grant != null && clock.nowMillis() - grant.requestedMillis < SHARING_MILLIS) return grant.result.await()
            val next = Grant(clock.nowMillis())
            if (current.compareAndSet(grant, next)) return request(next)
        }
    }

    private suspend fun request(grant: Grant): StoreResult<Long> {
        var result: StoreResult<Long> = StoreResult.Unavailable("lease request was cancelled")
        try {
            result = store.grantLease(minTtlSeconds + SHARING_MILLIS / MILLIS_PER_SECOND)
            return result
        } finally {
            if (result !is StoreResult.Ok) current.compareAndSet(grant, null)
            grant.result.complete(result)
        }
    }

    /**
     * Drops the lease after a failed write, because a store restored from an older copy may not have it. A lease
     * younger than [MIN_INVALIDATE_AGE_MILLIS] is kept.
     */
    fun invalidate() {
        val grant = current.get() ?: return
        if (clock.nowMillis() - grant.requestedMillis >= MIN_INVALIDATE_AGE_MILLIS) current.compareAndSet(grant, null)
    }

    private companion object {
        const val SHARING_MILLIS: Long = 3_600_000
        const val MILLIS_PER_SECOND: Long = 1_000

        // Limits the rate of lease grants while the store rejects writes for a reason other than a missing lease.
        const val MIN_INVALIDATE_AGE_MILLIS: Long = 10_000
    }
}
