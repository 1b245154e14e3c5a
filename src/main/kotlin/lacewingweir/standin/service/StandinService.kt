/** A simulated plain service. */
package lacewingweir.standin.service

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.standin.JSON_HEADERS
import lacewingweir.standin.RequestCapture
import lacewingweir.standin.StandinServer
import lacewingweir.standin.readJson
import lacewingweir.standin.respondJson
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * A simulated service that responds to every call with a [StandinServiceResponse] and counts runs by idempotency key.
 *
 * `POST /standin/faults` replaces the current [StandinServiceFaults], and `GET /standin/stats` returns the
 * [StandinServiceStats].
 */
public class StandinService(
    private val options: StandinServiceOptions = StandinServiceOptions(),
) : AutoCloseable {
    private val server = StandinServer(options.host)
    private val capture = RequestCapture(options.capture)
    private val runCounts = ConcurrentHashMap<String, Int>()
    private val totalRunCount = AtomicLong()
    private val refusedCount = AtomicLong()
    private val droppedResponseCount = AtomicLong()
    private var currentFaults = StandinServiceFaults()
    private var listener: HttpServer? = null

    /** The bound port. Available after [start]. */
    public val port: Int
        get() = checkNotNull(listener) { "stand-in is not started" }.port

    /** Binds the port. */
    public fun start(): StandinService {
        listener = server.listen(options.port, ::handle)
        return this
    }

    /** Replaces the current faults. */
    @Synchronized
    public fun setFaults(faults: StandinServiceFaults) {
        currentFaults = faults
    }

    @Synchronized
    private fun consumeFaults(): StandinServiceFaults {
        val faults = currentFaults
        val times = faults.times ?: return faults
        currentFaults = if (times > 1) faults.copy(times = times - 1) else StandinServiceFaults()
        return faults
    }

    /** Returns the counters since the start. */
    public fun stats(): StandinServiceStats =
        StandinServiceStats(
            runCounts.toMap(),
            totalRunCount.get(),
            refusedCount.get(),
            droppedResponseCount.get(),
            capture.toList(),
        )

    private suspend fun handle(exchange: ServerExchange) {
        when (exchange.method to exchange.path) {
            "POST" to "/standin/faults" -> {
                val faults = exchange.readJson(StandinServiceFaults.serializer()) ?: return
                setFaults(faults)
                exchange.respondJson(StandinServiceFaults.serializer(), faults)
            }
            "GET" to "/standin/stats" -> exchange.respondJson(StandinServiceStats.serializer(), stats())
            else -> serve(exchange)
        }
    }

    private suspend fun serve(exchange: ServerExchange) {
        capture.record(exchange)
        val faults = consumeFaults()
        if (faults.hang) return hangUntilDisconnect(exchange)
        delay(faults.delayMillis)
        if (faults.refuse) {
            refusedCount.incrementAndGet()
            val body = """{"error":"refused"}""".encodeToByteArray()
            return exchange.respond(503, JSON_HEADERS + ("X-Run" to "not-run"), body)
        }
        // From here on the call counts as run, even if the caller disconnects.
        val key = exchange.headers.get("Idempotency-Key") ?: exchange.headers.get("X-Request-Id") ?: ""
        val runNumber = checkNotNull(runCounts.merge(key, 1, Int::plus))
        totalRunCount.incrementAndGet()
        delay(options.workMillis)
        if (faults.dropResponse) {
            droppedResponseCount.incrementAndGet()
            return exchange.abort()
        }
        val response =
            StandinServiceResponse(
                options.name,
                exchange.method,
                exchange.path,
                exchange.query,
                key,
                runNumber,
                exchange.headers.get("X-Customer"),
                exchange.body.size,
            )
        exchange.respondJson(StandinServiceResponse.serializer(), response)
    }

    private suspend fun hangUntilDisconnect(exchange: ServerExchange) {
        coroutineScope {
            val job = launch { awaitCancellation() }
            exchange.onDisconnect { job.cancel() }
        }
    }

    override fun close() {
        server.close()
    }
}
