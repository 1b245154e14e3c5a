package lacewingweir.standin.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import lacewingweir.protocol.etcd.EtcdBytes
import lacewingweir.protocol.etcd.EtcdError
import lacewingweir.protocol.etcd.EtcdJson
import lacewingweir.protocol.etcd.EtcdLeaseGrantRequest
import lacewingweir.protocol.etcd.EtcdLeaseGrantResponse
import lacewingweir.protocol.etcd.EtcdLeaseKeepAliveResponse
import lacewingweir.protocol.etcd.EtcdLeaseRequest
import lacewingweir.protocol.etcd.EtcdLeaseRevokeResponse
import lacewingweir.protocol.etcd.EtcdPaths
import lacewingweir.protocol.etcd.EtcdPutRequest
import lacewingweir.protocol.etcd.EtcdPutResponse
import lacewingweir.protocol.etcd.EtcdRangeRequest
import lacewingweir.protocol.etcd.EtcdRangeResponse
import lacewingweir.protocol.etcd.EtcdTxnRequest
import lacewingweir.protocol.etcd.EtcdTxnResponse
import lacewingweir.protocol.etcd.EtcdWatchMessage
import lacewingweir.protocol.etcd.EtcdWatchRequest
import lacewingweir.protocol.etcd.EtcdWatchResponse
import lacewingweir.standin.JSON_HEADERS
import lacewingweir.standin.StandinServer
import lacewingweir.standin.readJson
import lacewingweir.standin.respondJson
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * A stand-in for the platform's key-value service: an in-memory subset of the etcd v3 JSON gateway that limits the size
 * of values and the calls per second, and that can inject faults.
 *
 * `POST /standin/faults` replaces the active faults by a [StandinPlatformFaults], and `GET /standin/stats` returns a
 * [StandinPlatformStats]. Both are served on [port] and on [controlPort], but during [PlatformOutage.REFUSE] only on
 * [controlPort].
 */
public class StandinPlatform(
    private val options: StandinPlatformOptions = StandinPlatformOptions(),
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : AutoCloseable {
    private val server = StandinServer(options.host)
    private val store = InMemoryEtcd(clock, options.maxValueBytes)
    private val readLimiter = CallLimiter(options.readsPerSecond, clock)
    private val writeLimiter = CallLimiter(options.writesPerSecond, clock)
    private val random = Random(options.seed)
    private val currentFaults = AtomicReference(StandinPlatformFaults())
    private val readCalls = AtomicLong()
    private val writeCalls = AtomicLong()
    private val overLimit = AtomicLong()
    private val responsesLost = AtomicLong()
    private val requestsDropped = AtomicLong()
    private var listener: HttpServer? = null
    private var controlListener: HttpServer? = null

    /** The port of the key-value service. It is valid after [start] and is not changed by faults. */
    public var port: Int = options.port
        private set

    /** A port that serves only the paths under `/standin/` and stays open in every outage. */
    public val controlPort: Int
        get() = checkNotNull(controlListener) { "stand-in is not started" }.port

    /** The faults that are injected at present. */
    public val faults: StandinPlatformFaults
        get() = currentFaults.get()

    /** Binds both ports and starts to expire leases. */
    public fun start(): StandinPlatform {
        listener = server.listen(options.port, ::handle).also { port = it.port }
        controlListener = server.listen(options.controlPort, ::handleControl)
        server.scope.launch {
            while (isActive) {
                delay(EXPIRY_CHECK_MILLIS)
                store.expireLeases()
            }
        }
        return this
    }

    /** Replaces the injected faults. */
    @Synchronized
    public fun setFaults(faults: StandinPlatformFaults) {
        currentFaults.set(faults)
        val refusesConnections = faults.down == PlatformOutage.REFUSE
        if (refusesConnections) {
            listener?.close()
            listener = null
        } else if (listener == null) {
            listener = server.listen(port, ::handle)
        }
    }

    /** Returns the counters since the start. */
    public fun stats(): StandinPlatformStats =
        StandinPlatformStats(
            readCalls.get(),
            writeCalls.get(),
            overLimit.get(),
            responsesLost.get(),
            requestsDropped.get(),
            store.openWatches,
            store.expiredLeases,
            store.size,
            store.revision,
        )

    /** Writes [key] directly, bypassing limits and faults. */
    public fun put(
        key: String,
        value: ByteArray,
    ) {
        store.put(EtcdPutRequest(EtcdBytes.of(key), EtcdBytes.of(value)))
    }

    /** Reads [key] directly, bypassing limits and faults. Returns null if it does not exist. */
    public fun get(key: String): ByteArray? =
        store
            .range(EtcdRangeRequest(EtcdBytes.of(key)))
            .kvs
            .firstOrNull()
            ?.value
            ?.toByteArray()

    private suspend fun handleControl(exchange: ServerExchange) {
        when (exchange.method to exchange.path) {
            "POST" to "/standin/faults" -> {
                val faults = exchange.readJson(StandinPlatformFaults.serializer()) ?: return
                // Responds first, because REFUSE closes the connection on which this request arrived.
                exchange.respondJson(StandinPlatformFaults.serializer(), faults)
                setFaults(faults)
            }
            "GET" to "/standin/stats" -> exchange.respondJson(StandinPlatformStats.serializer(), stats())
            else -> respondError(exchange, 404, 5, "not found")
        }
    }

    private suspend fun handle(exchange: ServerExchange) {
        if (exchange.path.startsWith("/standin/")) return handleControl(exchange)
        val faults = currentFaults.get()
        if (faults.down == PlatformOutage.HANG) {
            while (currentFaults.get().down == PlatformOutage.HANG) delay(HANG_CHECK_MILLIS)
            return exchange.abort()
        }
        if (occurs(faults.dropRequests)) {
            requestsDropped.incrementAndGet()
            return exchange.abort()
        }
        if (faults.delayMillis > 0) delay(faults.delayMillis)
        val isRead = exchange.path == EtcdPaths.RANGE || exchange.path == EtcdPaths.WATCH
        (if (isRead) readCalls else writeCalls).incrementAndGet()
        if (!(if (isRead) readLimiter else writeLimiter).tryAcquire()) {
            overLimit.incrementAndGet()
            return respondError(exchange, 429, 8, "etcdserver: too many requests")
        }
        try {
            route(exchange)
        } catch (e: InMemoryEtcd.RequestException) {
            respondError(exchange, e.status, if (e.status == 404) 5 else 3, e.message)
        } catch (e: IllegalArgumentException) {
            respondError(exchange, 400, 3, e.message ?: "malformed request")
        }
    }

    private fun occurs(probability: Double): Boolean =
        probability > 0.0 && synchronized(random) { random.nextDouble() } < probability

    private suspend fun respondError(
        exchange: ServerExchange,
        status: Int,
        grpcCode: Int,
        message: String,
    ) {
        val body = EtcdJson.encodeToString(EtcdError.serializer(), EtcdError(message, grpcCode))
        exchange.respond(status, JSON_HEADERS, body.encodeToByteArray())
    }

    private suspend fun route(exchange: ServerExchange) {
        when (exchange.path) {
            EtcdPaths.RANGE -> {
                val request = decode(exchange, EtcdRangeRequest.serializer())
                respond(exchange, EtcdRangeResponse.serializer(), store.range(request))
            }
            EtcdPaths.PUT -> {
                val request = decode(exchange, EtcdPutRequest.serializer())
                respond(exchange, EtcdPutResponse.serializer(), store.put(request))
            }
            EtcdPaths.TXN -> {
                val request = decode(exchange, EtcdTxnRequest.serializer())
                respond(exchange, EtcdTxnResponse.serializer(), store.txn(request))
            }
            EtcdPaths.LEASE_GRANT, EtcdPaths.LEASE_KEEP_ALIVE, EtcdPaths.LEASE_REVOKE -> routeLease(exchange)
            EtcdPaths.WATCH -> watch(exchange)
            else -> respondError(exchange, 404, 5, "not found")
        }
    }

    private suspend fun routeLease(exchange: ServerExchange) {
        if (exchange.path == EtcdPaths.LEASE_GRANT) {
            val request = decode(exchange, EtcdLeaseGrantRequest.serializer())
            val id = store.grantLease(request.ttlSeconds, request.id)
            val response = EtcdLeaseGrantResponse(store.header, id, request.ttlSeconds)
            return respond(exchange, EtcdLeaseGrantResponse.serializer(), response)
        }
        val id = decode(exchange, EtcdLeaseRequest.serializer()).id
        if (exchange.path == EtcdPaths.LEASE_REVOKE) {
            store.revokeLease(id)
            return respond(exchange, EtcdLeaseRevokeResponse.serializer(), EtcdLeaseRevokeResponse(store.header))
        }
        val renewed = EtcdLeaseGrantResponse(store.header, id, store.keepAlive(id))
        respond(exchange, EtcdLeaseKeepAliveResponse.serializer(), EtcdLeaseKeepAliveResponse(renewed))
    }

    private fun <T> decode(
        exchange: ServerExchange,
        serializer: KSerializer<T>,
    ): T = EtcdJson.decodeFromString(serializer, exchange.body.decodeToString())

    private suspend fun <T> respond(
        exchange: ServerExchange,
        serializer: KSerializer<T>,
        response: T,
    ) {
        if (occurs(currentFaults.get().loseResponsesAfterEffect)) {
            responsesLost.incrementAndGet()
            return exchange.abort()
        }
        exchange.respond(200, JSON_HEADERS, EtcdJson.encodeToString(serializer, response).encodeToByteArray())
    }

    private suspend fun watch(exchange: ServerExchange) {
        val watch = store.watch(decode(exchange, EtcdWatchRequest.serializer()).create)
        try {
            exchange.startStream(200, JSON_HEADERS)
            send(exchange, EtcdWatchResponse(store.header, created = true))
            val connected = AtomicBoolean(true)
            exchange.onDisconnect { connected.set(false) }
            var nextChargeMillis = clock.nowMillis() + MILLIS_PER_SECOND
            while (connected.get()) {
                sendEvents(exchange, watch)
                if (clock.nowMillis() >= nextChargeMillis) {
                    nextChargeMillis += MILLIS_PER_SECOND
                    readCalls.incrementAndGet()
                    readLimiter.charge()
                }
                delay(WATCH_CHECK_MILLIS)
            }
        } finally {
            store.removeWatch(watch)
        }
    }

    private suspend fun sendEvents(
        exchange: ServerExchange,
        watch: InMemoryEtcd.Watch,
    ) {
        if (currentFaults.get().stallWatches) return
        val events = generateSequence { watch.events.tryReceive().getOrNull() }.toList()
        if (events.isNotEmpty()) send(exchange, EtcdWatchResponse(store.header, events = events))
    }

    private suspend fun send(
        exchange: ServerExchange,
        response: EtcdWatchResponse,
    ) {
        val line = EtcdJson.encodeToString(EtcdWatchMessage.serializer(), EtcdWatchMessage(response)) + "\n"
        exchange.write(line.encodeToByteArray())
    }

    override fun close() {
        server.close()
    }

    private companion object {
        const val EXPIRY_CHECK_MILLIS: Long = 100
        const val HANG_CHECK_MILLIS: Long = 20
        const val WATCH_CHECK_MILLIS: Long = 10
        const val MILLIS_PER_SECOND: Long = 1_000
    }
}
