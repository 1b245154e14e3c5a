package lacewingweir.platform

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * A stand-in of an endpoint on the platform, an engine or one of a plain [service], that ends when it begins to run a
 * request with one of [crashingBodies] or an answer on one of [crashingParts]. It starts again at the same address
 * under a new id after [RESTART_MILLIS].
 */
internal class StandinPromptEngine(
    private val name: String,
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val store: StandinKeyValueStore,
    private val service: String = ENGINE_SERVICE,
    copies: StandinCopies = StandinCopies(),
    @Volatile var software: String = "v1",
) : AutoCloseable {
    /** Room for [running] requests at once and [waiting] behind them. */
    class Room(
        val running: Int,
        val waiting: Int,
    )

    /** A request that has been read, with the time that its sender has left, in milliseconds. */
    class Arrival(
        val atMillis: Long,
        val parts: List<String>,
        val body: String,
        val requestId: String,
        val leftMillis: Long,
    )

    /** The runs of an engine. */
    val runs = StandinRuns(copies)

    /** The weights of an engine. */
    val weights = StandinWeights(scope) { publish() }

    private var server: HttpServer? = null
    private var port = 0
    private var starts = 0

    @Volatile
    private var closed = false

    @Volatile
    var crashingParts: Set<String> = emptySet()

    @Volatile
    var crashingBodies: Set<String> = emptySet()

    /** Bodies on which an endpoint of a plain service closes the connection without a response, and goes on. */
    @Volatile
    var abortingBodies: Set<String> = emptySet()

    /** Whether an engine ends before the head of its response when it runs one of [crashingBodies]. */
    @Volatile
    var crashesBeforeHead = false

    /** Parts on which the engine closes the connection after the head of its response, and goes on. */
    @Volatile
    var brokenOffParts: Set<String> = emptySet()

    /** Requests per second that the engine says it accepts, or null if it states no limit. */
    @Volatile
    var requestLimit: Double? = null

    /** Whether the responses to requests say that the endpoint is about to leave. */
    @Volatile
    var leaving = false

    /** How many requests the endpoint holds, or null if it holds any number. */
    @Volatile
    var room: Room? = null

    /** Refusals a second that the endpoint says it survives, or null if it says nothing. */
    @Volatile
    var brittle: Int? = null

    /** Times at which a request was refused for want of room, in milliseconds of the monotonic clock. */
    val refusals = CopyOnWriteArrayList<Long>()
    private val held = AtomicInteger()
    private val slotsByRoom = HashMap<Int, Semaphore>()

    /** Seconds for which an endpoint that refuses all requests asks for no more of them, or null if it serves them. */
    @Volatile
    var pauseSeconds: String? = null

    /** Time from the arrival of a request to the head of its response, in which a call on an engine hasn't begun. */
    @Volatile
    var prefillMillis = 10L

    /** Number of events of an answer, and the time between them. */
    @Volatile
    var events = 3

    @Volatile
    var eventMillis = 0L

    /** The number of events of the answer to a body, where it differs from [events]. */
    @Volatile
    var eventsFor: (body: String) -> Int = { events }

    /** The data of an event. */
    @Volatile
    var piece: (Int) -> String = { "piece$it" }

    /** The status with which an endpoint of a plain service answers a request with a body. */
    @Volatile
    var status: (body: String) -> Int = { 200 }

    /** Requests that have been answered whole. */
    val answered = AtomicInteger()

    /** Requests that have arrived, without control requests. */
    val arrivals = CopyOnWriteArrayList<Arrival>()

    /** Times at which the engine ended, in milliseconds of the monotonic clock. */
    val crashes = CopyOnWriteArrayList<Long>()

    val id: String
        get() = "$name-$starts"

    fun start() {
        starts++
        val ended = AtomicBoolean()
        val listener = HttpServer(group, scope, "127.0.0.1", port) { handle(it, ended) }.start()
        server = listener
        port = listener.port
        weights.onStart()
        publish()
    }

    /** Writes the endpoint's item anew, with the present number of slots. */
    fun republish() = publish()

    /** Writes the endpoint's item. */
    private fun publish() {
        val models =
            if (service == ENGINE_SERVICE) {
                ""","models":[{"name":"m","version":${weights.current},"adapters":[]}]"""
            } else {
                ""
            }
        store.write(
            "servers/$id",
            """{"service":"$service","address":"127.0.0.1:$port","zone":"z1","version":"$software","slots":${room?.running ?: SLOTS},"state":"ready",
            "coldLeftMs":0,"sequence":1,"born":${1_000 + starts}$models}""",
        )
    }

    private suspend fun handle(
        exchange: ServerExchange,
        ended: AtomicBoolean,
    ) {
        if (exchange.path == PlatformPaths.KV_CACHE_COPY) {
            runs.copy(exchange)
        } else if (exchange.path.startsWith(PlatformPaths.KV_CACHE_COPY_PREFIX)) {
            exchange.respond(200)
        } else if (exchange.path.startsWith("/lacewingweir/")) {
            weights.control(exchange, id)
        } else if (exchange.headers.get("Expect-Instance") == id) {
            handleCall(exchange, ended)
        } else {
            // The request is meant for an earlier run at this address.
            exchange.respond(421, listOf("Attempt-Id" to exchange.headers.get("Attempt-Id")))
        }
    }

    private suspend fun handleCall(
        exchange: ServerExchange,
        ended: AtomicBoolean,
    ) {
        val parts =
            exchange.headers
                .get("Prompt-Prefix")
                ?.split(',')
                .orEmpty()
                .map { it.substringBefore(':') }
        val body = exchange.body.decodeToString()
        val headers = exchange.headers
        arrivals += Arrival(nowMillis(), parts, body, headers.get("Attempt-Id"), headers.get("Deadline-Ms").toLong())
        pauseSeconds?.let {
            val id = exchange.headers.get("Attempt-Id")
            exchange.respond(503, listOf("Attempt-Id" to id, "Not-Executed" to "1", "Retry-After" to it))
            return
        }
        val run = Run(exchange, parts, body, ended)
        val bounds = room ?: return handleAdmitted(run)
        if (held.incrementAndGet() > bounds.running + bounds.waiting) {
            held.decrementAndGet()
            refuse(run)
            return
        }
        try {
            slots(bounds).withPermit { handleAdmitted(run) }
        } finally {
            held.decrementAndGet()
        }
    }

    @Synchronized
    private fun slots(bounds: Room): Semaphore = slotsByRoom.getOrPut(bounds.running) { Semaphore(bounds.running) }

    /** Refuses a request for want of room. A brittle endpoint ends if it has to do so too often. */
    private suspend fun refuse(run: Run) {
        val now = nowMillis()
        refusals += now
        run.exchange.respond(503, run.responseHeaders + ("Not-Executed" to "1"))
        val survived = brittle ?: return
        if (refusals.count { it > now - 1_000 } > survived) run.crash()
    }

    private suspend fun handleAdmitted(run: Run) {
        val exchange = run.exchange
        val body = run.body
        if (run.reachesFirstEvent) {
            if (!weights.begin(exchange, prefillMillis)) {
                if (exchange.headers.contains("Kv-From")) runs.onRefused()
                return
            }
            runs.begin(run.id)
            try {
                if (runs.admits(exchange)) answerPrompt(run)
            } finally {
                runs.end(run.id)
                weights.end()
            }
            return
        }
        delay(prefillMillis)
        when {
            run.crashes && (service != ENGINE_SERVICE || crashesBeforeHead) -> {
                run.crash()
                // The end of the server breaks off the request, without a response.
                awaitCancellation()
            }
            body in abortingBodies -> exchange.abort()
            service != ENGINE_SERVICE -> {
                exchange.respond(status(body), run.responseHeaders, body.encodeToByteArray())
                answered.incrementAndGet()
            }
            else -> answerPrompt(run)
        }
    }

    private suspend fun answerPrompt(run: Run) {
        val exchange = run.exchange
        val limit = requestLimit?.let { listOf("Server-Limit" to it.toString()) }.orEmpty()
        exchange.startStream(200, run.responseHeaders + ("Content-Type" to "text/event-stream") + limit)
        when {
            run.crashes -> run.crash()
            run.parts.any { it in brokenOffParts } -> exchange.abort()
            else -> {
                val first = (exchange.headers.get("Last-Event-Id")?.toInt() ?: 0) + 1
                for (n in first..eventsFor(run.body)) {
                    if (runs.isStopped(run.id)) {
                        exchange.abort()
                        return
                    }
                    exchange.write("id: $n\ndata: ${piece(n)}\n\n".encodeToByteArray())
                    delay(eventMillis)
                }
                exchange.finish()
                answered.incrementAndGet()
            }
        }
    }

    /** A request that the endpoint runs. [ended] tells whether this run of the endpoint has been ended already. */
    private inner class Run(
        val exchange: ServerExchange,
        val parts: List<String>,
        val body: String,
        private val ended: AtomicBoolean,
    ) {
        val id: String = exchange.headers.get("Attempt-Id")
        val crashes = body in crashingBodies || parts.dropLast(1).any { it in crashingParts }
        val reachesFirstEvent = service == ENGINE_SERVICE && !crashes && parts.none { it in brokenOffParts }
        val responseHeaders =
            listOf("Attempt-Id" to exchange.headers.get("Attempt-Id"), "Server-Stamp" to "stamp") +
                (if (service == ENGINE_SERVICE) listOf("Weight-Versions" to "${weights.current}") else emptyList()) +
                (if (leaving) listOf("Server-Leaving" to "1") else emptyList()) +
                (brittle?.let { listOf("Server-Brittle" to "$it") } ?: emptyList())

        fun crash() {
            if (ended.compareAndSet(false, true)) this@StandinPromptEngine.crash()
        }
    }

    /**
     * Reads and writes nothing for [millis], and goes on then as if nothing had happened. The [group] must have one
     * event loop only, which no other server uses.
     */
    fun fallSilent(millis: Long) = group.execute { Thread.sleep(millis) }

    /** Ends the engine, with all its connections. */
    fun crash() {
        crashes += nowMillis()
        val endedId = id
        val endedServer = server
        scope.launch {
            endedServer?.close()
            delay(RESTART_MILLIS)
            store.remove("servers/$endedId")
            if (!closed) start()
        }
    }

    override fun close() {
        closed = true
        server?.close()
    }

    companion object {
        const val ENGINE_SERVICE = "engine"
        const val RESTART_MILLIS: Long = 1_500
        private const val SLOTS = 48

        fun nowMillis(): Long = System.nanoTime() / 1_000_000

        /** Returns when [endpoints] received requests that one of them had received before. */
        fun repeatTimes(endpoints: List<StandinPromptEngine>): List<Long> =
            endpoints
                .flatMap { it.arrivals }
                .groupBy { it.requestId }
                .values
                .flatMap { arrivals -> arrivals.map { it.atMillis }.sorted().drop(1) }
    }
}
