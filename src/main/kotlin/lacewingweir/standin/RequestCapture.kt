package lacewingweir.standin

import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.ConcurrentLinkedQueue

/** Stores the head and body of every received request, so that a test can check them for data that must not be sent. */
internal class RequestCapture(
    private val enabled: Boolean,
) {
    private val requests = ConcurrentLinkedQueue<String>()

    fun record(exchange: ServerExchange) {
        if (!enabled) return
        val requestTarget = if (exchange.query.isEmpty()) exchange.path else "${exchange.path}?${exchange.query}"
        val headers = exchange.headers.joinToString("") { (name, value) -> "$name: $value\r\n" }
        requests.add("${exchange.method} $requestTarget\r\n$headers\r\n${exchange.body.decodeToString()}")
    }

    fun toList(): List<String> = requests.toList()
}
