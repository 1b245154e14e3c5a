/** The platform's key-value service over the etcd v3 JSON gateway. */
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
 * A call moves on to the next address as long as the store can't have applied it: after a failed connection attempt,
 * and for reads after any failure. A write that was handed to a connection is never sent again, because a repeated
 * compare-and-set would see its own first effect as a conflict; its result is then [StoreResult.Unknown]. Reads have
 * no effect, so that a failed read is always [StoreResult.Unavailable]. A lease whose grant is unknown ends by itself.
 */
public class EtcdConfigStore(
    private val client: HttpClient,
    private val settings: EtcdStoreSettings,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : ConfigStore {
    private val preferred = AtomicInteger()

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
        ) { answer -> StoreListing(answer.kvs.map { it.toEntry() }, answer.header.revision) }
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
        ) { answer ->
            require(answer.id != 0L) { "lease grant without an id" }
            answer.id
        }

    private suspend fun <Q, A, T> call(
        path: String,
        requestSerializer: KSerializer<Q>,
        request: Q,
        answerSerializer: KSerializer<A>,
        isWrite: Boolean,
        convert: (A) -> T,
    ): StoreResult<T> {
        val body = EtcdJson.encodeToString(requestSerializer, request).encodeToByteArray()
        return when (val exchanged = exchange(path, body, isWrite)) {
            is Exchange.Answer ->
                try {
                    val text = exchanged.body.decodeToString()
                    StoreResult.Ok(convert(EtcdJson.decodeFromString(answerSerializer, text)))
                } catch (e: SerializationException) {
                    unreadable(isWrite, e)
                } catch (e: IllegalArgumentException) {
                    unreadable(isWrite, e)
                }
            is Exchange.NotApplied -> StoreResult.Unavailable(exchanged.reason)
            is Exchange.MaybeApplied ->
                if (isWrite) StoreResult.Unknown(exchanged.reason) else StoreResult.Unavailable(exchanged.reason)
        }
    }

    private fun unreadable(
        isWrite: Boolean,
        cause: Exception,
    ): StoreResult<Nothing> {
        val reason = "unreadable answer of the store: ${cause.message}"
        logger.warn { "store: $reason" }
        return if (isWrite) StoreResult.Unknown(reason) else StoreResult.Unavailable(reason)
    }

    /** Tries the addresses in turn, beginning with the one that answered last, within the time of one call. */
    private suspend fun exchange(
        path: String,
        body: ByteArray,
        isWrite: Boolean,
    ): Exchange {
        val deadline = clock.nowMillis() + settings.callTimeoutMillis
        val first = preferred.get()
        val count = settings.addresses.size
        var last: Exchange = Exchange.NotApplied("no address was tried")
        for (attempt in 0 until count) {
            val remaining = deadline - clock.nowMillis()
            if (remaining <= 0) break
            // A read leaves time for the other addresses; a write that was sent has no second attempt.
            val attemptMillis = if (isWrite) remaining else (remaining / (count - attempt)).coerceAtLeast(1)
            val index = (first + attempt).mod(count)
            last = attempt(settings.addresses[index], path, body, attemptMillis)
            if (last is Exchange.Answer || last is Exchange.NotApplied && last.final) {
                preferred.compareAndSet(first, index)
                return last
            }
            if (last is Exchange.MaybeApplied && isWrite) {
                preferred.compareAndSet(first, (index + 1).mod(count))
                return last
            }
        }
        preferred.compareAndSet(first, (first + 1).mod(count))
        return last
    }

    private suspend fun attempt(
        address: StoreAddress,
        path: String,
        body: ByteArray,
        timeoutMillis: Long,
    ): Exchange {
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
            is ClientResult.NotSent -> Exchange.NotApplied(result.reason)
            is ClientResult.Unknown -> Exchange.MaybeApplied(result.reason)
            is ClientResult.Answered -> readAnswer(result.response, deadline)
        }
    }

    private suspend fun readAnswer(
        response: ClientResponse,
        deadline: Long,
    ): Exchange {
        val remaining = (deadline - clock.nowMillis()).coerceAtLeast(1)
        val body =
            try {
                withTimeoutOrNull(remaining) { response.readAll(MAX_ANSWER_BYTES, remaining) }
            } finally {
                response.close()
            }
        val status = response.status
        return when {
            status in NOT_APPLIED_STATUS -> Exchange.NotApplied("the store answered with status $status", final = true)
            body == null -> Exchange.MaybeApplied("the answer of the store was cut")
            status == HTTP_OK -> Exchange.Answer(body)
            else -> Exchange.MaybeApplied("the store answered with status $status")
        }
    }

    private fun EtcdKeyValue.toEntry(): StoreEntry = StoreEntry(key.toText(), value.toByteArray(), modRevision)

    private sealed interface Exchange {
        class Answer(
            val body: ByteArray,
        ) : Exchange

        /** [final] is true if another address of the same store would answer the same. */
        class NotApplied(
            val reason: String,
            val final: Boolean = false,
        ) : Exchange

        class MaybeApplied(
            val reason: String,
        ) : Exchange
    }

    private companion object {
        const val MAX_VALUE_BYTES: Int = 1_000_000
        const val MAX_ANSWER_BYTES: Int = 64 * 1024 * 1024
        const val HTTP_OK: Int = 200
        val JSON_HEADERS: List<Pair<String, String>> = listOf("Content-Type" to "application/json")

        /**
         * Refusals before the store proposes the write: bad argument, wrong or missing permission, failed
         * precondition, and too many requests. The gateway also uses 5xx and 408 for a proposal that timed out and
         * may still be applied, so these are not in the set.
         */
        val NOT_APPLIED_STATUS: Set<Int> = setOf(400, 401, 403, 404, 405, 412, 413, 429)
    }
}
