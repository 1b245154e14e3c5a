package lacewingweir.standin

import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.ConcurrentLinkedQueue

/** Keeps the head and body of every request received, so that a test can search them for what must not be there. */
internal class RequestCapture(
    private val enabled: Boolean,
) {
    private val requests = ConcurrentLinkedQueue<String>()

    fun record(exchange: ServerExchange) {
        if (!enabled) return
        val target = if (exchange.query.isEmpty()) exchange.path else "${exchange.path}?${exchange.query}"
        val headers = exchange.headers.joinToString("") { (name, value) -> "$name: $value\r\n" }
        requests.add("${exchange.method} $target\r\n$headers\r\n${exchange.body.decodeToString()}")
    }

    fun toList(): List<String> = requests.toList()
}
