/**
 * Registers this instance in the store under a lease, so that peers find it and count it as an instance.
 *
 * A lease that expired, for example while the process was suspended or the store was unavailable, is replaced.
 */
package lacewingweir.coordination.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.StoreWrite
import lacewingweir.coordination.store.valueOrNull
import lacewingweir.coordination.time.TimerService

private val logger = KotlinLogging.logger {}

internal class LeasedInstanceRegistration(
    private val store: ClusterStore,
    private val timers: TimerService,
    private val key: String,
    private val value: ByteArray,
) {
    private var leaseId: Long? = null

    @Volatile
    private var stopped = false

    suspend fun start() {
        try {
            keepRegistered()
        } finally {
            timers.every("registration", RENEW_MILLIS) { keepRegistered() }
        }
    }

    /** Ends the lease and with it the registration, so that peers stop counting this instance immediately. */
    suspend fun stop() {
        stopped = true
        leaseId?.let { store.endLease(it) }
    }

    private suspend fun keepRegistered() {
        if (stopped) return
        val known = leaseId
        if (known == null) {
            register()
            return
        }
        val renewed = store.renewLease(known)
        if (renewed is StoreResult.Ok && !renewed.value) {
            logger.warn { "registration: lease $known has expired; registering again" }
            leaseId = null
            register()
        }
    }

    private suspend fun register() {
        val lease = store.grantLease(TTL_MILLIS).valueOrNull() ?: return
        val result = store.commit(StoreTransaction(writes = listOf(StoreWrite(key, value, lease))))
        if (result.valueOrNull() is CommitResult.Committed) {
            leaseId = lease
            logger.info { "registration: registered lease=$lease" }
        } else {
            logger.warn { "registration: not registered result=$result" }
        }
    }

    private companion object {
        /** Exceeds the duration of a restart, so that a restarting instance does not change the number of peers. */
        const val TTL_MILLIS: Long = 6_000

        /** Allows two renewals to fail before the lease expires. */
        const val RENEW_MILLIS: Long = 2_000
    }
}
