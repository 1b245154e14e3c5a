package lacewingweir.transport.gateway

import kotlinx.coroutines.delay
import lacewingweir.state.bundle.Endpoint
import lacewingweir.state.bundle.EndpointKind
import lacewingweir.state.id.EndpointId
import lacewingweir.state.id.FailureDomain
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A plain service in the test process that records the requests it receives. */
internal class FakeService(
    name: String,
    fixture: GatewayFixture,
    private val respond: suspend (ServerExchange) -> Unit = { it.respond(200, body = "ok".encodeToByteArray()) },
) : AutoCloseable {
    val receivedRequests = CopyOnWriteArrayList<String>()
    private val server = HttpServer(fixture.group, fixture.scope, "127.0.0.1", 0, handler = ::handle).start()
    val endpoint = serviceEndpoint(name, server.port)

    private suspend fun handle(exchange: ServerExchange) {
        val uri = exchange.rawPath + if (exchange.query.isEmpty()) "" else "?${exchange.query}"
        receivedRequests += "${exchange.method} $uri ${exchange.headers.entries()} ${exchange.body.decodeToString()}"
        delay(1)
        respond(exchange)
    }

    override fun close() {
        server.close()
    }
}

/** Accepts connections, reads from each and closes it without a response. */
internal class SilentService(
    name: String,
) : AutoCloseable {
    val connections = AtomicInteger()
    private val socket = ServerSocket(0)
    val endpoint = serviceEndpoint(name, socket.localPort)

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val accepted = runCatching { socket.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                accepted.use { it.getInputStream().read(ByteArray(4096)) }
            }
        }
    }

    override fun close() {
        socket.close()
    }
}

internal fun serviceEndpoint(
    name: String,
    port: Int,
): Endpoint = Endpoint(EndpointId(name), EndpointKind.SERVICE, "127.0.0.1", port, FailureDomain("d"))

internal fun closedPort(): Int = ServerSocket(0).use { it.localPort }
