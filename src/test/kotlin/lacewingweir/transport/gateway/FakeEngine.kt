package lacewingweir.transport.gateway

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.state.id.ModelName
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/** An engine in the test process with configurable faults. Each chunk depends only on its index. */
internal class FakeEngine(
    name: String,
    group: EventLoopGroup,
    scope: CoroutineScope,
) : AutoCloseable {
    class ReceivedRequest(
        val head: String,
        val body: String,
    )

    val receivedRequests = CopyOnWriteArrayList<ReceivedRequest>()
    val cancelRequests = CopyOnWriteArrayList<String>()
    val chunksSent = AtomicLong()

    @Volatile
    var tokenCount = 20

    @Volatile
    var weights = "w1"

    /** The chunk index before which the connection is closed. */
    @Volatile
    var abortAtIndex = Int.MAX_VALUE

    /** The chunk index from which event ids are one too high, as if a chunk was lost. */
    @Volatile
    var skipIndex = Int.MAX_VALUE

    @Volatile
    var wrongRequestId = false

    @Volatile
    var refuseNotRun = false

    /** Accepts requests and never responds. */
    @Volatile
    var neverRespond = false

    /** Sends the response headers and then nothing. */
    @Volatile
    var neverStream = false

    @Volatile
    var chunkDelayMillis = 0L

    @Volatile
    var padding = ""

    private val server = HttpServer(group, scope, "127.0.0.1", 0, handler = ::handle).start()

    val endpoint =
        Endpoint(
            id = EndpointId(name),
            kind = EndpointKind.ENGINE,
            host = "127.0.0.1",
            port = server.port,
            failureDomain = FailureDomain("d"),
            models = listOf(ModelName("m")),
        )

    private suspend fun handle(exchange: ServerExchange) {
        if (exchange.path == "/engine/cancel") {
            cancelRequests += exchange.body.decodeToString()
            exchange.respond(200)
            return
        }
        val head = "${exchange.method} ${exchange.rawPath}?${exchange.query}\n${exchange.headers.entries()}"
        receivedRequests += ReceivedRequest(head, exchange.body.decodeToString())
        val body = Json.parseToJsonElement(exchange.body.decodeToString()) as JsonObject
        if (refuseNotRun) {
            exchange.respond(503, listOf("X-Run" to "not-run"), """{"error":{"message":"full"}}""".encodeToByteArray())
            return
        }
        if (neverRespond) awaitCancellation()
        val id = if (wrongRequestId) "another" else body.getValue("request_id").jsonPrimitive.content
        respond(exchange, id, body.getValue("resume_at").jsonPrimitive.long)
    }

    private suspend fun respond(
        exchange: ServerExchange,
        id: String,
        resumeAt: Long,
    ) {
        val headers =
            listOf(
                "X-Request-Id" to id,
                "X-Engine-Incarnation" to "i-1",
                "X-Engine-Weights" to weights,
                "X-Engine-Load" to "running=1;waiting=0;prefill=0",
                "Content-Type" to "text/event-stream",
            )
        exchange.startStream(200, headers)
        if (neverStream) awaitCancellation()
        for (index in resumeAt until tokenCount) {
            if (index >= abortAtIndex) {
                delay(30)
                exchange.abort()
                return
            }
            val eventIndex = if (index >= skipIndex) index + 1 else index
            exchange.write("id: $eventIndex\ndata: ${chunk(id, index.toInt())}\n\n".encodeToByteArray())
            chunksSent.incrementAndGet()
            if (chunkDelayMillis > 0) delay(chunkDelayMillis)
        }
        exchange.write("id: $tokenCount\ndata: ${usage(id)}\n\ndata: [DONE]\n\n".encodeToByteArray())
        exchange.finish()
    }

    fun chunk(
        id: String,
        index: Int,
    ): String {
        val finish = if (index == tokenCount - 1) "\"stop\"" else "null"
        return """{"id": "$id","object":"chat.completion.chunk","created":1,"model":"m","choices":""" +
            """[{"index":0,"delta":{"content":"é$index $padding"},"finish_reason":$finish}]}"""
    }

    fun usage(id: String): String =
        """{"id":"$id","object":"chat.completion.chunk","created":1,"model":"m","choices":[],"usage":""" +
            """{"prompt_tokens":9,"completion_tokens":$tokenCount,"prompt_tokens_details":{"cached_tokens":4}}}"""

    override fun close() {
        server.close()
    }
}
