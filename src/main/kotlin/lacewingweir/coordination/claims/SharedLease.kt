package lacewingweir.coordination.claims

import kotlinx.coroutines.CompletableDeferred
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.time.MonotonicClock
import java.util.concurrent.atomic.AtomicReference

/**
 * A store lease that many keys share, so that a key costs no lease of its own.
 *
 * The lease is used for new keys during [SHARING_MILLIS] and lives longer than [lifeSeconds] by that time, so that
 * each key lives for at least [lifeSeconds]. Concurrent callers wait for one grant.
 */
internal class SharedLease(
    private val store: ConfigStore,
    private val clock: MonotonicClock,
    private val lifeSeconds: Long,
) {
    private class Grant(
        val sentMillis: Long,
        val result: CompletableDeferred<StoreResult<Long>> = CompletableDeferred(),
    )

    private val current = AtomicReference<Grant?>(null)

    suspend fun id(): StoreResult<Long> {
        while (true) {
            val grant = current.get()
            if (grant != null && clock.nowMillis() - grant.sentMillis < SHARING_MILLIS) return grant.result.await()
            val next = Grant(clock.nowMillis())
            if (current.compareAndSet(grant, next)) return request(next)
        }
    }

    private suspend fun request(grant: Grant): StoreResult<Long> {
        var result: StoreResult<Long> = StoreResult.Unavailable("the lease request was cancelled")
        try {
            result = store.grantLease(lifeSeconds + SHARING_MILLIS / MILLIS)
            return result
        } finally {
            if (result !is StoreResult.Ok) current.compareAndSet(grant, null)
            grant.result.complete(result)
        }
    }

    /** Forgets the lease after a failed write, since a restored store may not know it. A young lease is kept. */
    fun doubt() {
        val grant = current.get() ?: return
        if (clock.nowMillis() - grant.sentMillis >= TRUSTED_MILLIS) current.compareAndSet(grant, null)
    }

    private companion object {
        const val SHARING_MILLIS: Long = 3_600_000
        const val MILLIS: Long = 1_000

        // Bounds the rate of lease grants while the store refuses writes for another reason.
        const val TRUSTED_MILLIS: Long = 10_000
    }
}
