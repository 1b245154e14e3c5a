package lacewingweir.transport.operator

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaderNames
import io.prometheus.metrics.expositionformats.ExpositionFormats
import kotlinx.coroutines.CoroutineScope
import lacewingweir.protocol.operator.FleetReport
import lacewingweir.protocol.operator.OperatorJson
import lacewingweir.protocol.operator.WithdrawalReport
import lacewingweir.protocol.operator.WithdrawalRequest
import lacewingweir.state.id.KeyDigest
import lacewingweir.transport.http.HttpLimits
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.io.ByteArrayOutputStream

/**
 * HTTP server for the operators of an instance.
 *
 * Serves `/healthz`, `/readyz`, `/metrics`, `/fleet`, `/explain/<id>` and `POST /keys/withdraw` on a separate port.
 *
 * Requests are not authenticated, so the server must be bound to an address that only operators can reach. If [port] is
 * zero, a free port is bound.
 */
public class OperatorServer(
    group: EventLoopGroup,
    scope: CoroutineScope,
    host: String,
    port: Int,
    private val sources: OperatorSources,
) : AutoCloseable {
    private val server = HttpServer(group, scope, host, port, { limits }, handler = ::handle)
    private val metricFormats = ExpositionFormats.init()

    /** The bound port. Valid only after [start]. */
    public val port: Int
        get() = server.port

    /** Binds the address and starts to accept connections. */
    public fun start(): OperatorServer = apply { server.start() }

    override fun close(): Unit = server.close()

    private suspend fun handle(exchange: ServerExchange) {
        val path = exchange.path
        when {
            path == WITHDRAW_PATH && exchange.method == "POST" -> withdraw(exchange)
            path == WITHDRAW_PATH -> exchange.text(405, "use POST\n", listOf("Allow" to "POST"))
            exchange.method != "GET" -> exchange.text(405, "use GET\n", listOf("Allow" to "GET"))
            path == "/healthz" -> exchange.text(200, "ok\n")
            path == "/readyz" -> readiness(exchange)
            path == "/metrics" -> metrics(exchange)
            path == "/fleet" -> exchange.json(200, OperatorJson.encode(FleetReport.serializer(), sources.fleet()))
            path.startsWith(EXPLAIN_PREFIX) -> explain(exchange, path.removePrefix(EXPLAIN_PREFIX))
            else -> exchange.text(404, "no such path\n")
        }
    }

    private suspend fun readiness(exchange: ServerExchange) {
        val reasons = sources.unreadyReasons()
        if (reasons.isEmpty()) {
            exchange.text(200, "ready\n")
        } else {
            exchange.text(503, reasons.joinToString("") { "$it\n" })
        }
    }

    private suspend fun metrics(exchange: ServerExchange) {
        val writer = metricFormats.findWriter(exchange.headers.get(HttpHeaderNames.ACCEPT))
        val body = ByteArrayOutputStream()
        writer.write(body, sources.registry.scrape())
        exchange.respond(200, listOf("Content-Type" to writer.contentType), body.toByteArray())
    }

    private suspend fun explain(
        exchange: ServerExchange,
        requestId: String,
    ) {
        val trace = sources.explain(requestId)
        if (trace == null) exchange.text(404, "no trace of this request here\n") else exchange.json(200, trace)
    }

    private suspend fun withdraw(exchange: ServerExchange) {
        val request = OperatorJson.decode(WithdrawalRequest.serializer(), exchange.body.decodeToString())
        if (request == null || !digestPattern.matches(request.digest)) {
            exchange.text(400, "expected {\"digest\": \"<64 lower-case hexadecimal digits>\"}\n")
            return
        }
        val result = sources.withdraw(KeyDigest(request.digest))
        val report =
            WithdrawalReport(result.confirmed.map { it.value }, result.unconfirmed.map { it.value }, result.inStore)
        exchange.json(200, OperatorJson.encode(WithdrawalReport.serializer(), report))
    }

    private suspend fun ServerExchange.text(
        status: Int,
        text: String,
        headers: List<Pair<String, String>> = emptyList(),
    ) = respond(status, headers + ("Content-Type" to "text/plain; charset=utf-8"), text.encodeToByteArray())

    private suspend fun ServerExchange.json(
        status: Int,
        text: String,
    ) = respond(status, listOf("Content-Type" to "application/json"), text.encodeToByteArray())

    private companion object {
        const val WITHDRAW_PATH: String = "/keys/withdraw"
        const val EXPLAIN_PREFIX: String = "/explain/"
        val digestPattern = Regex("[0-9a-f]{64}")
        val limits = HttpLimits(maxBodyBytes = 64 * 1024)
    }
}
