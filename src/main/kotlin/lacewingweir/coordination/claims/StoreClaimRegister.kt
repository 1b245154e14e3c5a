/** Claims of unrepeatable calls in the configuration store. */
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
 * A [ClaimRegister] with one key under `/claims/` for each call, which lives for at least 24 hours.
 *
 * A claim is created by compare-and-set with an id of its own. An unknown result is settled by reading the key back:
 * whoever finds its own id there holds the claim. A call takes one write to claim it, and one read and one write to
 * store its answer. [newClaimId] must never give the same id twice.
 */
public class StoreClaimRegister(
    private val store: ConfigStore,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val newClaimId: () -> String = { UUID.randomUUID().toString() },
) : ClaimRegister {
    private val lease = SharedLease(store, clock, CLAIM_LIFE_SECONDS)

    override suspend fun acquire(
        customer: CustomerId?,
        route: RouteId,
        idempotencyKey: String,
        requestDigest: String,
    ): ClaimResult {
        val key = keyOf(customer, route, idempotencyKey)
        val leaseId =
            when (val granted = lease.id()) {
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
            when (val decision = attempt(key, record, leaseId, expectedRevision)) {
                Decision.Held -> return ClaimResult.Acquired(HeldClaim(key, record, leaseId))
                is Decision.Settled -> return decision.result
                // Repeating the write is safe: it carries the same claim id, and only one of them can take effect.
                is Decision.Free -> expectedRevision = decision.revision
            }
        }
        return ClaimResult.Unavailable("the claim could not be settled in $MAX_ATTEMPTS attempts")
    }

    private suspend fun attempt(
        key: String,
        record: ClaimRecord,
        leaseId: Long,
        expectedRevision: Long,
    ): Decision {
        val written = store.compareAndSet(key, expectedRevision, record.encode(), leaseId)
        if (written is StoreResult.Unavailable) {
            lease.doubt()
            return Decision.Settled(ClaimResult.Unavailable(written.reason))
        }
        if (written == StoreResult.Ok(true)) return Decision.Held
        val read = readBack(key)
        if (read is StoreResult.Ok) return decide(read.value, record)
        // A conflict proves that a claim exists, so the call must not run; after an unknown write nothing is known.
        val conflict = written is StoreResult.Ok
        val unsettled = ClaimResult.Unavailable("the claim could not be read back")
        return Decision.Settled(if (conflict) ClaimResult.Existing(null) else unsettled)
    }

    private sealed interface Decision {
        data object Held : Decision

        class Free(
            val revision: Long,
        ) : Decision

        class Settled(
            val result: ClaimResult,
        ) : Decision
    }

    private fun decide(
        entry: StoreEntry?,
        own: ClaimRecord,
    ): Decision {
        if (entry == null) return Decision.Free(0)
        val found = ClaimRecord.decode(entry.value)
        return when {
            found == null -> {
                logger.error { "store: claim ${entry.key} is unreadable; its call counts as run" }
                Decision.Settled(ClaimResult.Existing(null))
            }
            found.claimId == own.claimId -> Decision.Held
            found.released -> Decision.Free(entry.modRevision)
            found.requestDigest != own.requestDigest -> Decision.Settled(ClaimResult.Mismatch)
            else -> Decision.Settled(ClaimResult.Existing(found.outcome))
        }
    }

    private suspend fun readBack(key: String): StoreResult<StoreEntry?> {
        var result = store.get(key)
        repeat(MAX_ATTEMPTS - 1) { attempt ->
            if (result is StoreResult.Ok) return result
            delay(RETRY_MILLIS * (attempt + 1))
            result = store.get(key)
        }
        return result
    }

    private inner class HeldClaim(
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

        /** Replaces the record as long as the key still holds this claim. A repeat after an unknown result is safe. */
        private suspend fun update(next: ClaimRecord) {
            var failure = "conflict"
            repeat(MAX_ATTEMPTS) { attempt ->
                if (attempt > 0) delay(RETRY_MILLIS * attempt)
                val entry =
                    when (val read = store.get(key)) {
                        is StoreResult.Ok -> read.value
                        is StoreResult.Unavailable, is StoreResult.Unknown -> {
                            failure = read.toString()
                            return@repeat
                        }
                    }
                val found = entry?.let { ClaimRecord.decode(it.value) }
                if (found == next) return
                if (entry == null || found?.claimId != record.claimId) {
                    logger.warn { "store: claim $key is no longer held and was not updated" }
                    return
                }
                val written = store.compareAndSet(key, entry.modRevision, next.encode(), leaseId)
                if (written == StoreResult.Ok(true)) return
                failure = written.toString()
            }
            logger.warn { "store: claim $key could not be updated: $failure" }
        }
    }

    private companion object {
        const val CLAIM_LIFE_SECONDS: Long = 24 * 3_600
        const val MAX_ATTEMPTS: Int = 4
        const val RETRY_MILLIS: Long = 100
        const val NO_CUSTOMER: Int = -1

        /** Hashes each field with its length, so that different fields never join to the same text. */
        fun keyOf(
            customer: CustomerId?,
            route: RouteId,
            idempotencyKey: String,
        ): String {
            val digest = MessageDigest.getInstance("SHA-256")
            for (field in listOf(customer?.value, route.value, idempotencyKey)) {
                val bytes = field?.encodeToByteArray()
                digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes?.size ?: NO_CUSTOMER).flip())
                bytes?.let(digest::update)
            }
            return "/claims/${HexFormat.of().formatHex(digest.digest())}"
        }
    }
}
