/** Claims of non-repeatable calls, kept in the configuration store. */
package lacewingweir.coordination.claims

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreResult
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.RouteId
import lacewingweir.state.time.MonotonicClock
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat
import java.util.UUID

private val logger = KotlinLogging.logger {}

/**
 * A [ClaimRegister] that stores each claim under its own key below `/claims/`, for at least 24 hours.
 *
 * A claim is created by compare-and-set and contains a unique id. If the result of the write is unknown, the key is
 * read back: the caller holds the claim if the record there has its id. Without failures, a call takes one write to
 * acquire the claim, and one read and one write to store the response. [newClaimId] must never return the same id
 * twice.
 */
public class StoreClaimRegister(
    private val store: ConfigStore,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val newClaimId: () -> String = { UUID.randomUUID().toString() },
) : ClaimRegister {
    private val sharedLease = SharedLease(store, clock, MIN_CLAIM_TTL_SECONDS)

    override suspend fun acquire(
        customer: CustomerId?,
        route: RouteId,
        idempotencyKey: String,
        requestDigest: String,
    ): ClaimResult {
        val key = keyOf(customer, route, idempotencyKey)
        val leaseId =
            when (val granted = sharedLease.currentId()) {
                is StoreResult.Ok -> granted.value
                is StoreResult.Unavailable -> return ClaimResult.Unavailable(granted.reason)
                is StoreResult.Unknown -> return ClaimResult.Unavailable(granted.reason)
            }
        return create(key, ClaimRecord(newClaimId(), requestDigest), leaseId)
    }

    private suspend fun create(
        key: String,
        record: ClaimRecord,
        leaseId: Long,
    ): ClaimResult {
        var expectedRevision = 0L
        repeat(MAX_ATTEMPTS) {
            when (val attemptResult = attempt(key, record, leaseId, expectedRevision)) {
                AttemptResult.Held -> return ClaimResult.Acquired(AcquiredClaim(key, record, leaseId))
                is AttemptResult.Resolved -> return attemptResult.result
                // Retrying the write is safe: all attempts have the same claim id, and at most one can take effect.
                is AttemptResult.Available -> expectedRevision = attemptResult.revision
            }
        }
        return ClaimResult.Unavailable("claim could not be written in $MAX_ATTEMPTS attempts")
    }

    private suspend fun attempt(
        key: String,
        record: ClaimRecord,
        leaseId: Long,
        expectedRevision: Long,
    ): AttemptResult {
        val written = store.compareAndSet(key, expectedRevision, record.encode(), leaseId)
        if (written is StoreResult.Unavailable) {
            sharedLease.invalidate()
            return AttemptResult.Resolved(ClaimResult.Unavailable(written.reason))
        }
        if (written == StoreResult.Ok(true)) return AttemptResult.Held
        val read = readBack(key)
        if (read is StoreResult.Ok) return evaluate(read.value, record)
        // A conflict shows that another claim exists, so the call must not run. An unknown result shows nothing.
        val conflict = written is StoreResult.Ok
        val unavailable = ClaimResult.Unavailable("claim could not be read back after a write with an unknown result")
        return AttemptResult.Resolved(if (conflict) ClaimResult.Existing(null) else unavailable)
    }

    private sealed interface AttemptResult {
        data object Held : AttemptResult

        class Available(
            val revision: Long,
        ) : AttemptResult

        class Resolved(
            val result: ClaimResult,
        ) : AttemptResult
    }

    private fun evaluate(
        entry: StoreEntry?,
        own: ClaimRecord,
    ): AttemptResult {
        if (entry == null) return AttemptResult.Available(0)
        val found = ClaimRecord.decode(entry.value)
        return when {
            found == null -> {
                logger.error { "store: claim ${entry.key} is malformed; treating its call as already run" }
                AttemptResult.Resolved(ClaimResult.Existing(null))
            }
            found.claimId == own.claimId -> AttemptResult.Held
            found.released -> AttemptResult.Available(entry.modRevision)
            found.requestDigest != own.requestDigest -> AttemptResult.Resolved(ClaimResult.Mismatch)
            else -> AttemptResult.Resolved(ClaimResult.Existing(found.outcome))
        }
    }

    private suspend fun readBack(key: String): StoreResult<StoreEntry?> {
        var result = store.get(key)
        repeat(MAX_ATTEMPTS - 1) { attempt ->
            if (result is StoreResult.Ok) return result
            delay(RETRY_DELAY_MILLIS * (attempt + 1))
            result = store.get(key)
        }
        return result
    }

    private inner class AcquiredClaim(
        private val key: String,
        private val record: ClaimRecord,
        private val leaseId: Long,
    ) : Claim {
        override suspend fun complete(outcome: CallOutcome) {
            update(record.copy(outcome = outcome))
        }

        override suspend fun release() {
            update(record.copy(released = true))
        }

        /**
         * Replaces the record if the key still holds this claim. Retries after an unknown result are safe, because each
         * attempt reads the record first.
         */
        private suspend fun update(updated: ClaimRecord) {
            var failure = "conflict"
            repeat(MAX_ATTEMPTS) { attempt ->
                if (attempt > 0) delay(RETRY_DELAY_MILLIS * attempt)
                val entry =
                    when (val read = store.get(key)) {
                        is StoreResult.Ok -> read.value
                        is StoreResult.Unavailable, is StoreResult.Unknown -> {
                            failure = read.toString()
                            return@repeat
                        }
                    }
                val found = entry?.let { ClaimRecord.decode(it.value) }
                if (found == updated) return
                if (entry == null || found?.claimId != record.claimId) {
                    logger.warn { "store: claim $key is no longer held and was not updated" }
                    return
                }
                val written = store.compareAndSet(key, entry.modRevision, updated.encode(), leaseId)
                if (written == StoreResult.Ok(true)) return
                failure = written.toString()
            }
            logger.warn { "store: claim $key could not be updated: $failure" }
        }
    }

    private companion object {
        const val MIN_CLAIM_TTL_SECONDS: Long = 24 * 3_600
        const val MAX_ATTEMPTS: Int = 4
        const val RETRY_DELAY_MILLIS: Long = 100
        const val LENGTH_OF_ABSENT_FIELD: Int = -1

        /** Hashes each field with its length, so that different fields never produce the same hash input. */
        fun keyOf(
            customer: CustomerId?,
            route: RouteId,
            idempotencyKey: String,
        ): String {
            val digest = MessageDigest.getInstance("SHA-256")
            for (field in listOf(customer?.value, route.value, idempotencyKey)) {
                val bytes = field?.encodeToByteArray()
                digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes?.size ?: LENGTH_OF_ABSENT_FIELD).flip())
                bytes?.let(digest::update)
            }
            return "/claims/${HexFormat.of().formatHex(digest.digest())}"
        }
    }
}
