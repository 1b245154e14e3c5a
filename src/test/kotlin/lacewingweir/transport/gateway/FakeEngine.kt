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

/** An engine in the test process with switches for faults. Its answer depends on the index only. */
internal class FakeEngine(
    name: String,
    group: EventLoopGroup,
    scope: CoroutineScope,
) : AutoCloseable {
    class Seen(
        val head: String,
        val body: String,
    )

    val seen = CopyOnWriteArrayList<Seen>()
    val cancelled = CopyOnWriteArrayList<String>()
    val chunksSent = AtomicLong()

    @Volatile
    var tokens = 20

    @Volatile
    var weights = "w1"

    @Volatile
    var cutAt = Int.MAX_VALUE

    @Volatile
    var skipAt = Int.MAX_VALUE

    @Volatile
    var crossed = false

    @Volatile
    var refuseNotRun = false

    /** Accepts requests and sends nothing, or with [hangAfterHead] only the head of the answer. */
    @Volatile
    var hang = false

    @Volatile
    var hangAfterHead = false

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
            cancelled += exchange.body.decodeToString()
            exchange.respond(200)
            return
        }
        val head = "${exchange.method} ${exchange.rawPath}?${exchange.query}\n${exchange.headers.entries()}"
        seen += Seen(head, exchange.body.decodeToString())
        val body = Json.parseToJsonElement(exchange.body.decodeToString()) as JsonObject
        if (refuseNotRun) {
            exchange.respond(503, listOf("X-Run" to "not-run"), """{"error":{"message":"full"}}""".encodeToByteArray())
            return
        }
        if (hang) awaitCancellation()
        val id = if (crossed) "another" else body.getValue("request_id").jsonPrimitive.content
        answer(exchange, id, body.getValue("resume_at").jsonPrimitive.long)
    }

    private suspend fun answer(
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
        if (hangAfterHead) awaitCancellation()
        for (index in resumeAt until tokens) {
            if (index >= cutAt) {
                delay(30)
                exchange.abort()
                return
            }
            val shown = if (index >= skipAt) index + 1 else index
            exchange.write("id: $shown\ndata: ${chunk(id, index.toInt())}\n\n".encodeToByteArray())
            chunksSent.incrementAndGet()
            if (chunkDelayMillis > 0) delay(chunkDelayMillis)
        }
        exchange.write("id: $tokens\ndata: ${usage(id)}\n\ndata: [DONE]\n\n".encodeToByteArray())
        exchange.finish()
    }

    fun chunk(
        id: String,
        index: Int,
    ): String {
        val finish = if (index == tokens - 1) "\"stop\"" else "null"
        return """{"id": "$id","object":"chat.completion.chunk","created":1,"model":"m","choices":""" +
            """[{"index":0,"delta":{"content":"é$index $padding"},"finish_reason":$finish}]}"""
    }

    fun usage(id: String): String =
        """{"id":"$id","object":"chat.completion.chunk","created":1,"model":"m","choices":[],"usage":""" +
            """{"prompt_tokens":9,"completion_tokens":$tokens,"prompt_tokens_details":{"cached_tokens":4}}}"""

    override fun close() {
        server.close()
    }
}
