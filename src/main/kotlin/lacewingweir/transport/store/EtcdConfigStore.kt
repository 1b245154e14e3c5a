package lacewingweir.transport.store

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import lacewingweir.coordination.store.ConfigStore
import lacewingweir.coordination.store.StoreEntry
import lacewingweir.coordination.store.StoreListing
import lacewingweir.coordination.store.StoreResult
import lacewingweir.protocol.etcd.EtcdBytes
import lacewingweir.protocol.etcd.EtcdCompare
import lacewingweir.protocol.etcd.EtcdCompareTarget
import lacewingweir.protocol.etcd.EtcdJson
import lacewingweir.protocol.etcd.EtcdKeyValue
import lacewingweir.protocol.etcd.EtcdLeaseGrantRequest
import lacewingweir.protocol.etcd.EtcdLeaseGrantResponse
import lacewingweir.protocol.etcd.EtcdPaths
import lacewingweir.protocol.etcd.EtcdPutRequest
import lacewingweir.protocol.etcd.EtcdRangeRequest
import lacewingweir.protocol.etcd.EtcdRangeResponse
import lacewingweir.protocol.etcd.EtcdRequestOp
import lacewingweir.protocol.etcd.EtcdTxnRequest
import lacewingweir.protocol.etcd.EtcdTxnResponse
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.util.concurrent.atomic.AtomicInteger

private val logger = KotlinLogging.logger {}

/**
 * A [ConfigStore] over the etcd v3 JSON gateway, with one or more addresses of the same service.
 *
 * A call is retried at the next address if the store can't have applied it: after a failed connection attempt, and for
 * reads after any failure. A write that may have been sent is never repeated, because a repeated compare-and-set would
 * report the effect of the first one as a conflict. Its result is [StoreResult.Unknown]. Reads have no effect, so a
 * failed read is always [StoreResult.Unavailable]. If the result of granting a lease is unknown, the lease expires
 * without being used.
 */
public class EtcdConfigStore(
    private val client: HttpClient,
    private val settings: EtcdStoreSettings,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : ConfigStore {
    private val preferredAddress = AtomicInteger()

    override suspend fun get(key: String): StoreResult<StoreEntry?> =
        call(
            EtcdPaths.RANGE,
            EtcdRangeRequest.serializer(),
            EtcdRangeRequest(EtcdBytes.of(key)),
            EtcdRangeResponse.serializer(),
            isWrite = false,
        ) { it.kvs.firstOrNull()?.toEntry() }

    override suspend fun list(
        prefix: String,
        sinceRevision: Long,
    ): StoreResult<StoreListing> {
        val minimum = if (sinceRevision > 0) sinceRevision + 1 else 0
        val request = EtcdRangeRequest(EtcdBytes.of(prefix), EtcdBytes.prefixEnd(prefix), minModRevision = minimum)
        return call(
            EtcdPaths.RANGE,
            EtcdRangeRequest.serializer(),
            request,
            EtcdRangeResponse.serializer(),
            isWrite = false,
        ) { response -> StoreListing(response.kvs.map { it.toEntry() }, response.header.revision) }
    }

    override suspend fun compareAndSet(
        key: String,
        expectedModRevision: Long,
        value: ByteArray,
        leaseId: Long?,
    ): StoreResult<Boolean> {
        if (value.size > MAX_VALUE_BYTES) {
            return StoreResult.Unavailable("value of ${value.size} bytes exceeds $MAX_VALUE_BYTES")
        }
        val encodedKey = EtcdBytes.of(key)
        val condition = EtcdCompare(encodedKey, target = EtcdCompareTarget.MOD, modRevision = expectedModRevision)
        val put = EtcdPutRequest(encodedKey, EtcdBytes.of(value), leaseId ?: 0)
        return call(
            EtcdPaths.TXN,
            EtcdTxnRequest.serializer(),
            EtcdTxnRequest(listOf(condition), success = listOf(EtcdRequestOp(put = put))),
            EtcdTxnResponse.serializer(),
            isWrite = true,
        ) { it.succeeded }
    }

    override suspend fun grantLease(ttlSeconds: Long): StoreResult<Long> =
        call(
            EtcdPaths.LEASE_GRANT,
            EtcdLeaseGrantRequest.serializer(),
            EtcdLeaseGrantRequest(ttlSeconds),
            EtcdLeaseGrantResponse.serializer(),
            isWrite = true,
        ) { response ->
            require(response.id != 0L) { "response to a lease grant without a lease id" }
            response.id
        }

    private suspend fun <Q, A, T> call(
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
        responseSerializer: KSerializer<A>,
        isWrite: Boolean,
        convert: (A) -> T,
    ): StoreResult<T> {
        val body = EtcdJson.encodeToString(requestSerializer, request).encodeToByteArray()
        return when (val outcome = send(path, body, isWrite)) {
            is Outcome.Response ->
                try {
                    val text = outcome.body.decodeToString()
                    StoreResult.Ok(convert(EtcdJson.decodeFromString(responseSerializer, text)))
                } catch (e: SerializationException) {
                    malformedResponse(isWrite, e)
                } catch (e: IllegalArgumentException) {
                    malformedResponse(isWrite, e)
                }
            is Outcome.NotApplied -> StoreResult.Unavailable(outcome.reason)
            is Outcome.MaybeApplied ->
                if (isWrite) StoreResult.Unknown(outcome.reason) else StoreResult.Unavailable(outcome.reason)
        }
    }

    private fun malformedResponse(
        isWrite: Boolean,
        cause: Exception,
    ): StoreResult<Nothing> {
        val reason = "malformed response of the store: ${cause.message}"
        logger.warn { "store: $reason" }
        return if (isWrite) StoreResult.Unknown(reason) else StoreResult.Unavailable(reason)
    }

    /**
     * Tries the addresses in turn within the call timeout. The first one is the address that responded last, or the one
     * after it if that has failed since.
     */
    private suspend fun send(
        path: String,
        body: ByteArray,
        isWrite: Boolean,
    ): Outcome {
        val deadline = clock.nowMillis() + settings.callTimeoutMillis
        val preferredIndex = preferredAddress.get()
        val addressCount = settings.addresses.size
        var outcome: Outcome = Outcome.NotApplied("timeout before the first attempt")
        for (offset in 0 until addressCount) {
            val remaining = deadline - clock.nowMillis()
            if (remaining <= 0) break
            // A read reserves time for the other addresses. A write that was sent is not attempted again.
            val attemptMillis = if (isWrite) remaining else (remaining / (addressCount - offset)).coerceAtLeast(1)
            val index = (preferredIndex + offset).mod(addressCount)
            outcome = sendTo(settings.addresses[index], path, body, attemptMillis)
            if (outcome is Outcome.Response || outcome is Outcome.NotApplied && outcome.conclusive) {
                preferredAddress.compareAndSet(preferredIndex, index)
                return outcome
            }
            if (outcome is Outcome.MaybeApplied && isWrite) {
                preferredAddress.compareAndSet(preferredIndex, (index + 1).mod(addressCount))
                return outcome
            }
        }
        preferredAddress.compareAndSet(preferredIndex, (preferredIndex + 1).mod(addressCount))
        return outcome
    }

    private suspend fun sendTo(
        address: StoreAddress,
        path: String,
        body: ByteArray,
        timeoutMillis: Long,
    ): Outcome {
        val deadline = clock.nowMillis() + timeoutMillis
        val request =
            ClientRequest(
                address.host,
                address.port,
                "POST",
                path,
                JSON_HEADERS,
                body,
                connectTimeoutMillis = minOf(settings.connectTimeoutMillis, timeoutMillis),
                headTimeoutMillis = timeoutMillis,
            )
        return when (val result = client.open(request)) {
            is ClientResult.NotSent -> Outcome.NotApplied(result.reason)
            is ClientResult.Unknown -> Outcome.MaybeApplied(result.reason)
            is ClientResult.Answered -> readResponse(result.response, deadline)
        }
    }

    private suspend fun readResponse(
        response: ClientResponse,
        deadline: Long,
    ): Outcome {
        val remaining = (deadline - clock.nowMillis()).coerceAtLeast(1)
        val body =
            try {
                withTimeoutOrNull(remaining) { response.readAll(MAX_RESPONSE_BYTES, remaining) }
            } finally {
                response.close()
            }
        val status = response.status
        return when {
            status in NOT_APPLIED_STATUSES ->
                Outcome.NotApplied(
                    "store responded with status $status",
                    conclusive = true,
                )
            body == null -> Outcome.MaybeApplied("incomplete response of the store")
            status == HTTP_OK -> Outcome.Response(body)
            else -> Outcome.MaybeApplied("store responded with status $status")
        }
    }

    private fun EtcdKeyValue.toEntry(): StoreEntry = StoreEntry(key.toText(), value.toByteArray(), modRevision)

    private sealed interface Outcome {
        class Response(
            val body: ByteArray,
        ) : Outcome

        /** If [conclusive], every other address of the store would refuse the request as well. */
        class NotApplied(
            val reason: String,
            val conclusive: Boolean = false,
        ) : Outcome

        class MaybeApplied(
            val reason: String,
        ) : Outcome
    }

    private companion object {
        const val MAX_VALUE_BYTES: Int = 1_000_000
        const val MAX_RESPONSE_BYTES: Int = 64 * 1024 * 1024
        const val HTTP_OK: Int = 200
        val JSON_HEADERS: List<Pair<String, String>> = listOf("Content-Type" to "application/json")

        /**
         * Status codes of requests that the store refuses before it proposes the write: invalid argument, failed
         * authentication, missing permission, failed precondition, and too many requests. The gateway also uses 5xx
         * and 408 for a proposal that timed out and may still be applied, so these codes are not in the set.
         */
        val NOT_APPLIED_STATUSES: Set<Int> = setOf(400, 401, 403, 404, 405, 412, 413, 429)
    }
}
