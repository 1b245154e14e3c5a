/** The platform's store over HTTP. */
package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.QueryStringEncoder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import lacewingweir.coordination.store.ClusterStore
import lacewingweir.coordination.store.CommitResult
import lacewingweir.coordination.store.StoreChange
import lacewingweir.coordination.store.StoreItem
import lacewingweir.coordination.store.StoreRange
import lacewingweir.coordination.store.StoreResult
import lacewingweir.coordination.store.StoreTransaction
import lacewingweir.coordination.store.WatchResult
import lacewingweir.coordination.store.then
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import java.util.Base64

private val logger = KotlinLogging.logger {}

internal class PlatformStore(
    private val http: HttpClient,
    private val address: HostPort,
) : ClusterStore {
    private class Answer(
        val status: Int,
        val body: ByteArray,
    )

    override suspend fun range(prefix: String): StoreResult<StoreRange> {
        val items = ArrayList<StoreItem>()
        var first = 0L
        var after: String? = null
        do {
            val query = query(PlatformPaths.KEY_RANGE, "prefix" to prefix, "after" to after)
            val page =
                when (val result = call("GET", query)) {
                    is StoreResult.Ok -> readPage(result.value)
                    is StoreResult.Unavailable -> return result
                    is StoreResult.Unknown -> return result
                }
            val answer = page ?: return StoreResult.Unavailable("malformed listing")
            // Pages are no snapshot: what changes meanwhile is seen by a watch from the first page's revision.
            if (after == null) first = answer.whole("storeRevision")
            val read = answer.objects("items").map(::item)
            items += read
            after = if (answer.flag("truncated")) read.lastOrNull()?.key else null
        } while (after != null)
        return StoreResult.Ok(StoreRange(items, first))
    }

    private fun readPage(answer: Answer): JsonObject? = if (answer.status == OK) parsed(answer) else null

    private fun item(item: JsonObject) = StoreItem(item.text("key"), value(item), item.whole("revision"))

    /** Bytes that are not even encoded as the store's page says are as good as any that can't be read. */
    private fun value(item: JsonObject): ByteArray =
        try {
            Base64.getDecoder().decode(item.text("value"))
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed value of ${item["key"]}: ${e.message}" }
            ByteArray(0)
        }

    override suspend fun watch(
        prefix: String,
        revision: Long,
        waitMillis: Long,
    ): WatchResult {
        val query =
            query(
                PlatformPaths.KEY_WATCH,
                "prefix" to prefix,
                "after" to revision.toString(),
                "waitMs" to waitMillis.toString(),
            )
        return when (val result = call("GET", query, timeoutMillis = waitMillis + CALL_TIMEOUT_MILLIS)) {
            is StoreResult.Ok -> readChanges(result.value)
            is StoreResult.Unavailable -> WatchResult.Failed(result.reason)
            is StoreResult.Unknown -> WatchResult.Failed(result.reason)
        }
    }

    private fun readChanges(answer: Answer): WatchResult {
        if (answer.status == GONE) return WatchResult.HistoryGone
        val body = parsed(answer) ?: return WatchResult.Failed("malformed answer")
        val changes =
            body.objects("events").map { event ->
                StoreChange(
                    event.text("key"),
                    event.whole("revision"),
                    if (event.flag("deleted")) null else value(event),
                )
            }
        return WatchResult.Changes(changes, body.whole("storeRevision"))
    }

    override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> {
        val body =
            buildJsonObject {
                putJsonArray("expect") {
                    for ((key, revision) in transaction.expected) {
                        add(
                            buildJsonObject {
                                put("key", key)
                                put("revision", revision)
                            },
                        )
                    }
                }
                putJsonArray("writes") { transaction.writes.forEach { add(write(it.key, it.value, it.leaseId)) } }
                put("remove", buildJsonArray { transaction.removals.forEach { add(JsonPrimitive(it)) } })
            }
        return call("POST", PlatformPaths.TRANSACTION, body).then { orMalformed(committed(it)) }
    }

    private fun write(
        key: String,
        value: ByteArray,
        leaseId: Long,
    ) = buildJsonObject {
        put("key", key)
        put("value", Base64.getEncoder().encodeToString(value))
        put("lease", leaseId)
    }

    private fun committed(answer: Answer): CommitResult? =
        when (answer.status) {
            PRECONDITION_FAILED -> CommitResult.Conflict
            NOT_FOUND -> CommitResult.LeaseEnded
            else -> CommitResult.Committed(parsed(answer)?.wholeOrNull("revision") ?: return null)
        }

    override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> =
        call("POST", PlatformPaths.LEASE_GRANT, buildJsonObject { put("ttlMs", ttlMillis) })
            .then { orMalformed(parsed(it)?.wholeOrNull("lease")) }

    override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> =
        call("POST", PlatformPaths.LEASE_RENEW + leaseId).then { StoreResult.Ok(it.status == OK) }

    override suspend fun endLease(leaseId: Long): StoreResult<Unit> =
        call("DELETE", PlatformPaths.LEASE_END + leaseId).then { StoreResult.Ok(Unit) }

    /** What can't be read leaves open whether the call was applied. */
    private fun <T> orMalformed(value: T?): StoreResult<T> =
        if (value == null) StoreResult.Unknown("malformed answer") else StoreResult.Ok(value)

    private fun parsed(answer: Answer): JsonObject? =
        try {
            parseObject(answer.body)
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed answer of the store: ${e.message}" }
            null
        }

    private fun query(
        path: String,
        vararg parameters: Pair<String, String?>,
    ): String {
        val encoder = QueryStringEncoder(path)
        for ((name, value) in parameters) if (value != null) encoder.addParam(name, value)
        return encoder.toString()
    }

    /** Answers that say what became of the call are [StoreResult.Ok], whatever their status. */
    private suspend fun call(
        method: String,
        path: String,
        body: JsonObject? = null,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
    ): StoreResult<Answer> {
        val request = jsonRequest(address, method, path, body, CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        return withTimeoutOrNull(timeoutMillis + CONNECT_TIMEOUT_MILLIS) { exchange(request) }
            ?: StoreResult.Unknown("no answer")
    }

    private suspend fun exchange(request: ClientRequest): StoreResult<Answer> {
        val response =
            when (val result = http.open(request)) {
                is ClientResult.Answered -> result.response
                is ClientResult.NotSent -> return StoreResult.Unavailable(result.reason)
                is ClientResult.Unknown -> return StoreResult.Unknown(result.reason)
            }
        val body =
            try {
                response.readAll(MAX_ANSWER_BYTES)
            } catch (e: CancellationException) {
                response.close()
                throw e
            } ?: return StoreResult.Unknown("answer cut")
        return when (response.status) {
            OK, NOT_FOUND, GONE, PRECONDITION_FAILED -> StoreResult.Ok(Answer(response.status, body))
            TOO_MANY, UNAVAILABLE -> StoreResult.Unavailable("status ${response.status}")
            else -> StoreResult.Unknown("status ${response.status}")
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503

        /** The store answers within milliseconds, slow at worst some hundreds of them. */
        const val CALL_TIMEOUT_MILLIS: Long = 800
        const val CONNECT_TIMEOUT_MILLIS: Long = 500

        /** A page of the largest listing and its encoding. */
        const val MAX_ANSWER_BYTES: Int = 4 * 1024 * 1024
    }
}
