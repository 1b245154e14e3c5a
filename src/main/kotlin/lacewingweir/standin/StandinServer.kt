/** Simulated external systems (stand-ins) with fault injection. They can be embedded in tests or run as processes. */
package lacewingweir.standin

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** The JSON codec of the stand-ins' control messages. It rejects unknown fields, so that typing errors are reported. */
internal val StandinJson: Json = Json { encodeDefaults = true }

internal val JSON_HEADERS: List<Pair<String, String>> = listOf("Content-Type" to "application/json")

/** The event loop group, coroutine scope and HTTP listeners of one stand-in. [close] is idempotent. */
internal class StandinServer(
    private val host: String,
    threads: Int = 1,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    private val listeners = ConcurrentLinkedQueue<HttpServer>()
    private val closed = AtomicBoolean()
    private val job = SupervisorJob()

    val scope: CoroutineScope = CoroutineScope(job + Dispatchers.Default)

    fun listen(
        port: Int,
        handler: suspend (ServerExchange) -> Unit,
    ): HttpServer = HttpServer(group, scope, host, port, handler = handler).start().also { listeners.add(it) }

    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        listeners.forEach { it.close() }
        // Handlers complete on the event loops, so the loops must run until all handlers have ended.
        runBlocking { withTimeoutOrNull(SHUTDOWN_TIMEOUT_MILLIS) { job.cancelAndJoin() } }
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private companion object {
        const val SHUTDOWN_TIMEOUT_MILLIS: Long = 1_000
    }
}

internal suspend fun <T> ServerExchange.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: Int = 200,
    headers: List<Pair<String, String>> = emptyList(),
) {
    respond(status, JSON_HEADERS + headers, StandinJson.encodeToString(serializer, value).encodeToByteArray())
}

/** Decodes the body. If it is invalid, responds with status 400 and returns null. */
internal suspend fun <T> ServerExchange.readJson(
    serializer: KSerializer<T>,
    json: Json = StandinJson,
): T? =
    try {
        json.decodeFromString(serializer, body.decodeToString())
    } catch (e: SerializationException) {
        respond(400, listOf("Content-Type" to "text/plain"), (e.message ?: "malformed JSON").encodeToByteArray())
        null
    }
