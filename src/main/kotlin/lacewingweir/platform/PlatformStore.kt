package lacewingweir.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.QueryStringEncoder
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
import lacewingweir.coordination.store.eraOf
import lacewingweir.coordination.store.revisionInEra
import lacewingweir.coordination.store.revisionWithoutEra
import lacewingweir.coordination.store.then
import lacewingweir.protocol.settings.HostPort
import lacewingweir.transport.http.ClientRequest
import lacewingweir.transport.http.ClientResponse
import lacewingweir.transport.http.ClientResult
import lacewingweir.transport.http.HttpClient
import lacewingweir.transport.http.readAll
import lacewingweir.transport.traffic.MessageCounter
import java.util.Base64
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

private val logger = KotlinLogging.logger {}

/** A [ClusterStore] that calls the HTTP interface of the platform's store at [address]. */
internal class PlatformStore(
    private val http: HttpClient,
    private val address: HostPort,
) : ClusterStore {
    private class Response(
        val status: Int,
        val body: ByteArray,
        val era: Long,
    )

    /** The greatest era that the store has stated. */
    private val newestEra = AtomicLong()

    private val failedCalls = LongAdder()

    /** Responses of the store, with the size of their bodies. */
    val responses = MessageCounter()

    /** Number of calls that the store refused, or that got no usable response. */
    val failures: Long
        get() = failedCalls.sum()

    override suspend fun range(prefix: String): StoreResult<StoreRange> {
        val items = ArrayList<StoreItem>()
        var firstRevision = 0L
        var lastKey: String? = null
        var era: Long? = null
        do {
            val target = pathWithQuery(PlatformPaths.KEY_RANGE, "prefix" to prefix, "after" to lastKey)
            val response =
                when (val result = call("GET", target)) {
                    is StoreResult.Ok -> result.value
                    is StoreResult.Unavailable -> return result
                    is StoreResult.Unknown -> return result
                }
            val sameEra = era == null || era == response.era
            era = response.era
            val page = if (sameEra) parsePage(response) else null
            if (page == null) return StoreResult.Unavailable("malformed page, or restored between two pages")
            // The pages are not a snapshot. A watch from the revision of the first page reports the changes made since.
            if (lastKey == null) firstRevision = revisionInEra(response.era, page.integer("storeRevision"))
            val pageItems = page.objects("items").map { toItem(it, response.era) }
            items += pageItems
            lastKey = if (page.boolean("truncated")) pageItems.lastOrNull()?.key else null
        } while (lastKey != null)
        return StoreResult.Ok(StoreRange(items, firstRevision))
    }

    private fun parsePage(response: Response): JsonObject? = if (response.status == OK) parseBody(response) else null

    private fun toItem(
        item: JsonObject,
        era: Long,
    ) = StoreItem(item.string("key"), value(item), revisionInEra(era, item.integer("revision")))

    /** Decodes a value. Returns no bytes if it is missing or not Base64, and the item codec then rejects the item. */
    private fun value(item: JsonObject): ByteArray =
        try {
            Base64.getDecoder().decode(item.string("value"))
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed value of ${item["key"]}: ${e.message}" }
            ByteArray(0)
        }

    override suspend fun watch(
        prefix: String,
        revision: Long,
        waitMillis: Long,
    ): WatchResult {
        val target =
            pathWithQuery(
                PlatformPaths.KEY_WATCH,
                "prefix" to prefix,
                "after" to revisionWithoutEra(revision).toString(),
                "waitMs" to waitMillis.toString(),
            )
        return when (val result = call("GET", target, timeoutMillis = waitMillis + CALL_TIMEOUT_MILLIS)) {
            is StoreResult.Ok ->
                if (result.value.era == eraOf(revision)) parseChanges(result.value) else WatchResult.HistoryGone
            is StoreResult.Unavailable -> WatchResult.Failed(result.reason)
            is StoreResult.Unknown ->
                if (result.reason == INCOMPLETE_RESPONSE) {
                    WatchResult.Unreadable(result.reason)
                } else {
                    WatchResult.Failed(result.reason)
                }
        }
    }

    private fun parseChanges(response: Response): WatchResult {
        if (response.status == GONE) return WatchResult.HistoryGone
        val body = parseBody(response) ?: return WatchResult.Failed("malformed response")
        val changes =
            body.objects("events").map { event ->
                StoreChange(
                    event.string("key"),
                    revisionInEra(response.era, event.integer("revision")),
                    if (event.boolean("deleted")) null else value(event),
                )
            }
        return WatchResult.Changes(changes, revisionInEra(response.era, body.integer("storeRevision")))
    }

    override suspend fun commit(transaction: StoreTransaction): StoreResult<CommitResult> {
        // A restored store may have given these revisions out again, to other values.
        val outdated = transaction.expected.values.any { it != 0L && eraOf(it) != newestEra.get() }
        if (outdated) return StoreResult.Ok(CommitResult.Conflict)
        val body =
            buildJsonObject {
                putJsonArray("expect") {
                    for ((key, revision) in transaction.expected) {
                        add(
                            buildJsonObject {
                                put("key", key)
                                put("revision", revisionWithoutEra(revision))
                            },
                        )
                    }
                }
                putJsonArray("writes") { transaction.writes.forEach { add(encodeWrite(it.key, it.value, it.leaseId)) } }
                put("remove", buildJsonArray { transaction.removals.forEach { add(JsonPrimitive(it)) } })
            }
        return call("POST", PlatformPaths.TRANSACTION, body).then { okOrMalformed(parseCommit(it)) }
    }

    private fun encodeWrite(
        key: String,
        value: ByteArray,
        leaseId: Long,
    ) = buildJsonObject {
        put("key", key)
        put("value", Base64.getEncoder().encodeToString(value))
        put("lease", leaseId)
    }

    private fun parseCommit(response: Response): CommitResult? =
        when (response.status) {
            PRECONDITION_FAILED -> CommitResult.Conflict
            NOT_FOUND -> CommitResult.LeaseEnded
            else -> {
                val revision = parseBody(response)?.integerOrNull("revision") ?: return null
                CommitResult.Committed(revisionInEra(response.era, revision))
            }
        }

    override suspend fun grantLease(ttlMillis: Long): StoreResult<Long> =
        call("POST", PlatformPaths.LEASE_GRANT, buildJsonObject { put("ttlMs", ttlMillis) })
            .then { okOrMalformed(parseBody(it)?.integerOrNull("lease")) }

    override suspend fun renewLease(leaseId: Long): StoreResult<Boolean> =
        call("POST", PlatformPaths.LEASE_RENEW + leaseId).then { StoreResult.Ok(it.status == OK) }

    override suspend fun endLease(leaseId: Long): StoreResult<Unit> =
        call("DELETE", PlatformPaths.LEASE_END + leaseId).then { StoreResult.Ok(Unit) }

    /** Returns [StoreResult.Unknown] for a malformed response, because the call may have been applied. */
    private fun <T> okOrMalformed(value: T?): StoreResult<T> =
        if (value == null) StoreResult.Unknown("malformed response") else StoreResult.Ok(value)

    private fun parseBody(response: Response): JsonObject? =
        try {
            parseObject(response.body)
        } catch (e: IllegalArgumentException) {
            logger.warn { "platform: malformed response of the store: ${e.message}" }
            null
        }

    private fun pathWithQuery(
        path: String,
        vararg parameters: Pair<String, String?>,
    ): String {
        val encoder = QueryStringEncoder(path)
        for ((name, value) in parameters) if (value != null) encoder.addParam(name, value)
        return encoder.toString()
    }

    /** Returns every response that tells whether the call was applied as [StoreResult.Ok], whatever its status. */
    private suspend fun call(
        method: String,
        path: String,
        body: JsonObject? = null,
        timeoutMillis: Long = CALL_TIMEOUT_MILLIS,
    ): StoreResult<Response> {
        val request = jsonRequest(address, method, path, body, CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        val result = exchange(request)
        if (result is StoreResult.Ok) responses.add(result.value.body.size) else failedCalls.increment()
        return result
    }

    private suspend fun exchange(request: ClientRequest): StoreResult<Response> {
        val response =
            when (val result = http.open(request)) {
                is ClientResult.Answered -> result.response
                is ClientResult.NotSent -> return StoreResult.Unavailable(result.reason)
                is ClientResult.Unknown -> return StoreResult.Unknown(result.reason)
            }
        val body =
            withTimeoutOrNull(BODY_TIMEOUT_MILLIS) { response.readAll(MAX_RESPONSE_BYTES, CALL_TIMEOUT_MILLIS) }
                ?: return StoreResult.Unknown(INCOMPLETE_RESPONSE)
        val era = parseEra(response)
        if (newestEra.getAndAccumulate(era, ::maxOf) < era) logger.info { "platform: store is in era $era" }
        return toResult(Response(response.status, body, era))
    }

    private fun toResult(response: Response): StoreResult<Response> =
        when {
            response.era < newestEra.get() -> StoreResult.Unknown("response from before the store was restored")
            response.status in PROCESSED -> StoreResult.Ok(response)
            response.status in NOT_PROCESSED -> StoreResult.Unavailable("status ${response.status}")
            else -> StoreResult.Unknown("status ${response.status}")
        }

    /** Returns the era that the store states, or the newest known one if it states none. */
    private fun parseEra(response: ClientResponse): Long {
        val text = response.headers.get(PlatformHeaders.STORE_ERA) ?: return newestEra.get()
        val era = text.trim().toLongOrNull()?.takeIf { it in 0..MAX_ERA }
        if (era == null) logger.warn { "platform: malformed era of the store: $text" }
        return era ?: newestEra.get()
    }

    private companion object {
        /** Revisions with this era are still integers that JSON transports exactly. */
        const val MAX_ERA: Long = 100_000
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        val PROCESSED: Set<Int> = setOf(OK, NOT_FOUND, GONE, PRECONDITION_FAILED)
        val NOT_PROCESSED: Set<Int> = setOf(TOO_MANY_REQUESTS, UNAVAILABLE)

        /**
         * Longest wait for the head of a response, and for each part of its body. The store responds within
         * milliseconds, or within a few hundred milliseconds when it is slow.
         */
        const val CALL_TIMEOUT_MILLIS: Long = 800
        const val CONNECT_TIMEOUT_MILLIS: Long = 500

        /** Time for the largest page to arrive over a link of a few Mbit/s that carries other traffic too. */
        const val BODY_TIMEOUT_MILLIS: Long = 6_000
        const val INCOMPLETE_RESPONSE = "incomplete response"

        /** The size of the largest page, including its Base64 encoding. */
        const val MAX_RESPONSE_BYTES: Int = 4 * 1024 * 1024
    }
}
