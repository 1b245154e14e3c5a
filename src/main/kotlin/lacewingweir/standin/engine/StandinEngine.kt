/** A simulated model engine. */
package lacewingweir.standin.engine

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lacewingweir.protocol.engine.EngineCancelMessage
import lacewingweir.protocol.engine.EngineJson
import lacewingweir.protocol.engine.EngineLoadMessage
import lacewingweir.protocol.engine.EngineStatusMessage
import lacewingweir.standin.JSON_HEADERS
import lacewingweir.standin.RequestCapture
import lacewingweir.standin.StandinServer
import lacewingweir.standin.readJson
import lacewingweir.standin.respondJson
import lacewingweir.state.placement.PrefixChain
import lacewingweir.state.time.MonotonicClock
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * A simulated model engine with the engine's HTTP interface: chat completions, cancel, load and status.
 *
 * It runs no model: answers come from [StandinAnswer], and the options set the time that requests take. The prefix
 * cache, priorities, stream resumption, cancellation, load commands and fencing behave like those of an engine.
 * `POST /standin/faults` replaces the current [StandinEngineFaults], and `GET /standin/stats` returns the
 * [StandinEngineStats].
 */
public class StandinEngine(
    private val options: StandinEngineOptions = StandinEngineOptions(),
    clock: MonotonicClock = MonotonicClock.SYSTEM,
) : AutoCloseable {
    /** An accepted request. [weights] stay the same during the run, even if the engine starts to load other weights. */
    private class Run(
        val request: CompletionRequest,
        val id: String,
        val weights: String,
        val incarnation: String,
        val faults: StandinEngineFaults,
    ) {
        val prompt: String = request.prompt
        val promptBytes: ByteArray = prompt.encodeToByteArray()
        val promptTokens: Int = (promptBytes.size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
        val pendingPrefillTokens: AtomicLong = AtomicLong(promptTokens.toLong())
    }

    private val server = StandinServer(options.host)
    private val models = EngineModels(options.models, options.loadMillis, options.ignoreFencing, clock)
    private val cache = PrefixCache(options.cachePieces, options.idleEvictionMillis, clock)
    private val slotSemaphore = PrioritySemaphore(options.slots)
    private val prefillSemaphore = PrioritySemaphore(1)
    private val capture = RequestCapture(options.capture)
    private val requestIdsByJob = ConcurrentHashMap<Job, String>()
    private val runCounts = ConcurrentHashMap<String, Int>()
    private val tokensBySalt = ConcurrentHashMap<String, Long>()
    private val activeRuns = AtomicInteger()
    private val prefillBacklog = AtomicLong()
    private val recomputedPieces = AtomicLong()
    private val cachedPieces = AtomicLong()
    private val completedCount = AtomicLong()
    private val cancelledCount = AtomicLong()
    private val refusedCount = AtomicLong()
    private val loadCount = AtomicLong()
    private val fencedLoadCount = AtomicLong()
    private var currentFaults = StandinEngineFaults()
    private var listener: HttpServer? = null

    @Volatile
    private var incarnation = newIncarnation()

    /** The bound port. Available after [start]. */
    public val port: Int
        get() = checkNotNull(listener) { "stand-in is not started" }.port

    /** Binds the port. */
    public fun start(): StandinEngine {
        listener = server.listen(options.port, ::handle)
        return this
    }

    /** Replaces the current faults. */
    @Synchronized
    public fun setFaults(faults: StandinEngineFaults) {
        currentFaults = faults.copy(reset = false)
        if (faults.reset) {
            incarnation = newIncarnation()
            cache.clear()
            models.reset()
            requestIdsByJob.keys.forEach { it.cancel() }
        }
    }

    /** Returns the current faults. */
    @Synchronized
    public fun faults(): StandinEngineFaults = currentFaults

    /** Returns the faults for the next request and counts it against [StandinEngineFaults.times]. */
    @Synchronized
    private fun consumeFaults(): StandinEngineFaults {
        val faults = currentFaults
        val times = faults.times ?: return faults
        currentFaults =
            if (times > 1) faults.copy(times = times - 1) else StandinEngineFaults(leaving = faults.leaving)
        return faults
    }

    /** Returns the counters since the start. */
    public fun stats(): StandinEngineStats =
        StandinEngineStats(
            incarnation,
            runCounts.toMap(),
            recomputedPieces.get(),
            cachedPieces.get(),
            cache.evictedPieces,
            completedCount.get(),
            cancelledCount.get(),
            refusedCount.get(),
            loadCount.get(),
            fencedLoadCount.get(),
            tokensBySalt.toMap(),
            capture.toList(),
        )

    private suspend fun handle(exchange: ServerExchange) {
        when (exchange.method to exchange.path) {
            "POST" to "/v1/chat/completions" -> {
                capture.record(exchange)
                complete(exchange)
            }
            "POST" to "/engine/cancel" -> cancel(exchange)
            "POST" to "/engine/load" -> load(exchange)
            "GET" to "/engine/status" -> exchange.respondJson(EngineStatusMessage.serializer(), status())
            "POST" to "/standin/faults" -> {
                val faults = exchange.readJson(StandinEngineFaults.serializer()) ?: return
                setFaults(faults)
                exchange.respondJson(StandinEngineFaults.serializer(), faults())
            }
            "GET" to "/standin/stats" -> exchange.respondJson(StandinEngineStats.serializer(), stats())
            else -> refuse(exchange, 404, "not_found", "no such path")
        }
    }

    private fun status(): EngineStatusMessage =
        EngineStatusMessage(incarnation, faults().leaving, activeRuns.get(), slotSemaphore.queueLength, models.report())

    private suspend fun cancel(exchange: ServerExchange) {
        val command = exchange.readJson(EngineCancelMessage.serializer(), EngineJson) ?: return
        requestIdsByJob.filterValues { it == command.requestId }.keys.forEach { it.cancel() }
        exchange.respond(200, JSON_HEADERS, "{}".encodeToByteArray())
    }

    private suspend fun load(exchange: ServerExchange) {
        val command = exchange.readJson(EngineLoadMessage.serializer(), EngineJson) ?: return
        if (!models.load(command)) {
            fencedLoadCount.incrementAndGet()
            return refuse(exchange, 409, "fenced", "a higher fencing number was seen")
        }
        loadCount.incrementAndGet()
        exchange.respond(202, JSON_HEADERS, "{}".encodeToByteArray())
    }

    private suspend fun complete(exchange: ServerExchange) {
        val request = exchange.readJson(CompletionRequest.serializer(), EngineJson) ?: return
        val weights = models.servingWeights(request.model)
        if (weights == null) {
            val (status, code) = if (models.isKnown(request.model)) 503 to "loading" else 404 to "model_not_found"
            return refuse(exchange, status, code, "model ${request.model} is not served")
        }
        val id = exchange.headers.get("X-Request-Id") ?: request.requestId ?: UUID.randomUUID().toString()
        val run = Run(request, id, weights, incarnation, consumeFaults())
        try {
            coroutineScope {
                val job = launch { execute(exchange, run) }
                requestIdsByJob[job] = id
                job.invokeOnCompletion { requestIdsByJob.remove(job) }
                exchange.onDisconnect { job.cancel() }
                job.join()
                if (job.isCancelled) {
                    cancelledCount.incrementAndGet()
                    exchange.abort()
                }
            }
        } catch (e: CancellationException) {
            exchange.abort()
            throw e
        }
    }

    private suspend fun execute(
        exchange: ServerExchange,
        run: Run,
    ) {
        if (run.faults.hang) awaitCancellation()
        delay(run.faults.delayMillis)
        prefillBacklog.addAndGet(run.pendingPrefillTokens.get())
        try {
            slotSemaphore.withPermit(run.request.priority) { serve(exchange, run) }
        } finally {
            endPrefill(run)
        }
    }

    private suspend fun serve(
        exchange: ServerExchange,
        run: Run,
    ) {
        activeRuns.incrementAndGet()
        runCounts.merge(run.id, 1, Int::plus)
        try {
            countTokens(run, run.promptTokens.toLong())
            val cachedTokens = prefillSemaphore.withPermit(run.request.priority) { prefill(run) }
            endPrefill(run)
            decode(exchange, run, cachedTokens)
        } finally {
            activeRuns.decrementAndGet()
        }
    }

    private fun countTokens(
        run: Run,
        tokens: Long,
    ) {
        tokensBySalt.merge(run.request.cacheSalt, tokens, Long::plus)
    }

    private fun endPrefill(run: Run) {
        prefillBacklog.addAndGet(-run.pendingPrefillTokens.getAndSet(0))
    }

    /** Waits for the prefill time of the pieces that are not cached, and returns the number of cached prompt tokens. */
    private suspend fun prefill(run: Run): Int {
        val salt = "${run.request.cacheSalt}|${run.request.model}|${run.weights}"
        val pieceBytes = options.pieceTokens * BYTES_PER_TOKEN
        val hashes = PrefixChain.of(salt, run.promptBytes, pieceBytes, options.pieceTokens).hashes
        val cachedPieceCount = cache.cachedPrefixLength(hashes)
        val cachedTokens = minOf(cachedPieceCount * options.pieceTokens, run.promptTokens)
        delay((run.promptTokens - cachedTokens) * options.prefillMillisPerPiece / options.pieceTokens)
        // A run that was aborted by a reset must not add pieces to the cache of the next incarnation.
        if (run.incarnation == incarnation) cache.insert(hashes)
        cachedPieces.addAndGet(cachedPieceCount.toLong())
        recomputedPieces.addAndGet((hashes.size - cachedPieceCount).toLong())
        return cachedTokens
    }

    private suspend fun decode(
        exchange: ServerExchange,
        run: Run,
        cachedTokens: Int,
    ) {
        val answer = StandinAnswer.of(run.request.model, run.weights, run.prompt)
        val limit = run.request.maxCompletionTokens ?: run.request.maxTokens ?: Int.MAX_VALUE
        val tokens = minOf(limit, options.answerTokens)
        val reportedId = if (run.faults.wrongRequestId) "crossed-${run.id}" else run.id
        exchange.startStream(200, responseHeaders(run, reportedId))
        val endIndex = if (run.faults.cutBeforeEnd) tokens - 1 else tokens
        var sentChunks = 0
        for (index in run.request.resumeAt until endIndex) {
            if (run.faults.dropAfterChunks == sentChunks) return exchange.abort()
            delay(options.decodeMillisPerToken)
            val finishReason =
                if (index < tokens - 1) {
                    null
                } else if (limit <= options.answerTokens) {
                    "length"
                } else {
                    "stop"
                }
            val choice =
                ChunkChoice(0, ChunkDelta(answer.chunk(index), "assistant".takeIf { index == 0 }), finishReason)
            val reportedIndex = if (run.faults.wrongIndexAt == index) index + 1 else index
            exchange.write(event(reportedIndex, chunk(run, reportedId, listOf(choice))))
            sentChunks++
            countTokens(run, 1)
        }
        if (run.faults.dropAfterChunks == sentChunks) return exchange.abort()
        if (!run.faults.cutBeforeEnd) {
            val details = PromptTokensDetails(cachedTokens)
            val usage = Usage(run.promptTokens, tokens, run.promptTokens + tokens, details)
            exchange.write(event(tokens, chunk(run, reportedId, emptyList(), usage)))
            exchange.write("data: [DONE]\n\n".encodeToByteArray())
        }
        exchange.finish()
        completedCount.incrementAndGet()
    }

    private fun chunk(
        run: Run,
        reportedId: String,
        choices: List<ChunkChoice>,
        usage: Usage? = null,
    ): CompletionChunk =
        CompletionChunk(reportedId, run.request.model, choices, usage, "chat.completion.chunk", CREATED_UNIX_SECONDS)

    private fun event(
        index: Int,
        chunk: CompletionChunk,
    ): ByteArray {
        val json = EngineJson.encodeToString(CompletionChunk.serializer(), chunk)
        return "id: $index\ndata: $json\n\n".encodeToByteArray()
    }

    private fun responseHeaders(
        run: Run,
        reportedId: String,
    ): List<Pair<String, String>> =
        listOf(
            "Content-Type" to "text/event-stream",
            "X-Request-Id" to reportedId,
            "X-Engine-Incarnation" to run.incarnation,
            "X-Engine-Weights" to run.weights,
        ) + loadHeaders()

    private fun loadHeaders(): List<Pair<String, String>> {
        val load = "running=${activeRuns.get()};waiting=${slotSemaphore.queueLength};prefill=${prefillBacklog.get()}"
        val leaving = if (faults().leaving) listOf("X-Engine-Leaving" to "true") else emptyList()
        return listOf("X-Engine-Load" to load) + leaving
    }

    /** Responds with an error that states that the request was not run. */
    private suspend fun refuse(
        exchange: ServerExchange,
        status: Int,
        code: String,
        message: String,
    ) {
        refusedCount.incrementAndGet()
        val headers = listOf("X-Run" to "not-run", "X-Engine-Incarnation" to incarnation) + loadHeaders()
        val body = EngineErrorBody(EngineErrorDetail(message, "engine_error", code))
        exchange.respondJson(EngineErrorBody.serializer(), body, status, headers)
    }

    override fun close() {
        server.close()
    }

    private companion object {
        const val BYTES_PER_TOKEN: Int = 4

        // Fixed, so that different runs of a request give identical answers.
        const val CREATED_UNIX_SECONDS: Long = 1_700_000_000

        fun newIncarnation(): String = UUID.randomUUID().toString()
    }
}
