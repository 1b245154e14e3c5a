package lacewingweir.platform

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A stand-in of the platform's store with ranges, watches, transactions and leases, for tests of whole instances.
 *
 * Leases end only by call, unless [leasesExpire].
 */
internal class StandinKeyValueStore(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
) : AutoCloseable {
    class Item(
        val key: String,
        val value: ByteArray,
        val revision: Long,
        val lease: Long,
    )

    /** The items of the store at [revision]. */
    class Copy(
        val items: List<Item>,
        val revision: Long,
    )

    private class Lease(
        val ttlMillis: Long,
        var endMillis: Long,
    )

    private class Change(
        val key: String,
        val revision: Long,
        val item: Item?,
    )

    private val items = TreeMap<String, Item>()
    private val history = ArrayList<Change>()
    private val revision = MutableStateFlow(1L)
    private var oldestRevision = 0L

    /** Number of times that the store was restored. */
    @Volatile
    private var era = 1L
    private val leases = LinkedHashMap<Long, Lease>()
    private var lastLease = 0L
    private val server = HttpServer(group, scope, "127.0.0.1", 0) { handle(it) }.start()
    private val views = CopyOnWriteArrayList<HttpServer>()

    /** Whether calls are refused. */
    @Volatile
    var down = false

    /** Time before each call is handled, in milliseconds. */
    @Volatile
    var responseMillis = 0L

    init {
        scope.launch {
            while (isActive) {
                delay(EXPIRY_PERIOD_MILLIS)
                if (leasesExpire) endExpiredLeases()
            }
        }
    }

    val address: String
        get() = "127.0.0.1:${server.port}"

    /** Opens an address at which the values of items are read as [shown] returns them. */
    fun openView(shown: (key: String, value: ByteArray) -> ByteArray): String {
        val view = HttpServer(group, scope, "127.0.0.1", 0) { handle(it, shown) }.start()
        views += view
        return "127.0.0.1:${view.port}"
    }

    /** Whether leases that aren't renewed end. */
    @Volatile
    var leasesExpire = false

    /** Number of transactions that wrote each key. */
    val writeCounts = HashMap<String, Int>()

    @Synchronized
    fun value(key: String): String? = items[key]?.value?.decodeToString()

    fun write(
        key: String,
        json: String,
    ) = write(key, json.encodeToByteArray())

    fun write(
        key: String,
        value: ByteArray,
    ) = commit(listOf(Triple(key, value, 0L)), emptyList())

    fun remove(key: String) = commit(emptyList(), listOf(key))

    /** Removes all items under [prefix]. */
    @Synchronized
    fun removeAll(prefix: String) = commit(emptyList(), items.keys.filter { it.startsWith(prefix) })

    /** Returns the current items, for [restore]. */
    @Synchronized
    fun copy() = Copy(items.values.toList(), revision.value)

    /** Goes back to a [copy], together with the revisions, which are given out again. */
    @Synchronized
    fun restore(copy: Copy) {
        era++
        items.clear()
        copy.items.associateByTo(items) { it.key }
        history.removeIf { it.revision > copy.revision }
        revision.value = copy.revision
    }

    /** Makes watches from earlier revisions fail, so that all items have to be listed again. */
    @Synchronized
    fun forgetHistory() {
        history.clear()
        oldestRevision = revision.value
    }

    @Synchronized
    private fun commit(
        writes: List<Triple<String, ByteArray, Long>>,
        removals: List<String>,
    ): Long {
        val next = revision.value + 1
        for ((key, value, lease) in writes) {
            val item = Item(key, value, next, lease)
            items[key] = item
            history += Change(key, next, item)
            writeCounts.merge(key, 1, Int::plus)
        }
        for (key in removals) if (items.remove(key) != null) history += Change(key, next, null)
        revision.value = next
        return next
    }

    private fun eraHeader() = listOf("Store-Era" to era.toString())

    private suspend fun handle(
        exchange: ServerExchange,
        shown: (key: String, value: ByteArray) -> ByteArray = { _, value -> value },
    ) {
        delay(responseMillis)
        if (down) {
            exchange.respond(503, eraHeader())
            return
        }
        val query = QueryStringDecoder("?" + exchange.query).parameters()

        fun parameter(name: String) = query[name]?.firstOrNull().orEmpty()
        when (exchange.path) {
            PlatformPaths.KEY_RANGE -> exchange.respondJson(range(parameter("prefix"), shown))
            PlatformPaths.KEY_WATCH -> {
                val after = parameter("after").toLong()
                withTimeoutOrNull(parameter("waitMs").toLong()) { revision.first { it > after } }
                if (after < oldestRevision) {
                    exchange.respond(410, eraHeader())
                } else {
                    exchange.respondJson(changes(parameter("prefix"), after, shown))
                }
            }
            PlatformPaths.TRANSACTION -> transact(exchange)
            PlatformPaths.LEASE_GRANT -> exchange.respondJson(buildJsonObject { put("lease", grantLease(exchange)) })
            else -> respondToLeaseCall(exchange)
        }
    }

    private suspend fun respondToLeaseCall(exchange: ServerExchange) {
        val path = exchange.path
        if (path.startsWith(PlatformPaths.LEASE_END)) endLease(path.removePrefix(PlatformPaths.LEASE_END).toLong())
        if (path.startsWith(PlatformPaths.LEASE_RENEW) &&
            !renew(path.removePrefix(PlatformPaths.LEASE_RENEW).toLong())
        ) {
            exchange.respond(404, eraHeader())
            return
        }
        exchange.respondJson(buildJsonObject { })
    }

    @Synchronized
    private fun grantLease(exchange: ServerExchange): Long {
        val ttlMillis = parseObject(exchange.body).integer("ttlMs")
        leases[++lastLease] = Lease(ttlMillis, StandinPromptEngine.nowMillis() + ttlMillis)
        return lastLease
    }

    @Synchronized
    private fun renew(id: Long): Boolean {
        val lease = leases[id] ?: return false
        lease.endMillis = StandinPromptEngine.nowMillis() + lease.ttlMillis
        return true
    }

    @Synchronized
    private fun endExpiredLeases() {
        val now = StandinPromptEngine.nowMillis()
        leases.filterValues { it.endMillis < now }.keys.forEach { endLease(it) }
    }

    @Synchronized
    private fun endLease(lease: Long) {
        leases.remove(lease)
        val keys = items.values.filter { it.lease == lease }.map { it.key }
        if (keys.isNotEmpty()) commit(emptyList(), keys)
    }

    @Synchronized
    private fun range(
        prefix: String,
        shown: (key: String, value: ByteArray) -> ByteArray,
    ) = buildJsonObject {
        put("items", JsonArray(items.values.filter { it.key.startsWith(prefix) }.map { encode(it, shown) }))
        put("truncated", false)
        put("storeRevision", revision.value)
    }

    @Synchronized
    private fun changes(
        prefix: String,
        after: Long,
        shown: (key: String, value: ByteArray) -> ByteArray,
    ) = buildJsonObject {
        val changes = history.filter { it.revision > after && it.key.startsWith(prefix) }
        put("events", JsonArray(changes.map { encode(it, shown) }))
        put("storeRevision", revision.value)
    }

    private fun encode(
        item: Item,
        shown: (key: String, value: ByteArray) -> ByteArray,
    ) = buildJsonObject {
        put("key", item.key)
        put("value", Base64.getEncoder().encodeToString(shown(item.key, item.value)))
        put("revision", item.revision)
        put("lease", item.lease)
    }

    private fun encode(
        change: Change,
        shown: (key: String, value: ByteArray) -> ByteArray,
    ): JsonObject =
        change.item?.let { encode(it, shown) } ?: buildJsonObject {
            put("key", change.key)
            put("revision", change.revision)
            put("deleted", true)
        }

    private suspend fun transact(exchange: ServerExchange) {
        val body = parseObject(exchange.body)
        val committed =
            synchronized(this) {
                val holds =
                    body.objects("expect").all {
                        (items[it.string("key")]?.revision ?: 0) == it.integer("revision")
                    }
                if (!holds) return@synchronized null
                val writes =
                    body.objects("writes").map {
                        Triple(it.string("key"), Base64.getDecoder().decode(it.string("value")), it.integer("lease"))
                    }
                commit(writes, body.strings("remove"))
            }
        if (committed == null) {
            exchange.respond(
                412,
                JSON + eraHeader(),
                buildJsonArray { add(JsonPrimitive(0)) }.toString().encodeToByteArray(),
            )
        } else {
            exchange.respondJson(buildJsonObject { put("revision", committed) })
        }
    }

    private suspend fun ServerExchange.respondJson(body: JsonObject) =
        respond(200, JSON + eraHeader(), body.toString().encodeToByteArray())

    override fun close() {
        views.forEach { it.close() }
        server.close()
    }

    private companion object {
        const val EXPIRY_PERIOD_MILLIS = 50L
        val JSON = listOf("Content-Type" to "application/json")
    }
}
