/**
 * A stand-in of the platform with one engine and one endpoint of a plain service, for a rehearsal of a router.
 *
 * The store never changes and accepts everything. Both endpoints answer each request at once. This is enough to take a
 * router through its start and through the path of a call, and too little to test it.
 */
package lacewingweir.platform

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import lacewingweir.transport.http.HttpServer
import lacewingweir.transport.http.ServerExchange
import java.util.Base64

internal class RehearsalPlatform(
    group: EventLoopGroup,
    scope: CoroutineScope,
) : AutoCloseable {
    private val endpoints = HttpServer(group, scope, HOST, 0, handler = ::answerCall).start()
    private val store = HttpServer(group, scope, HOST, 0, handler = ::answerStoreCall).start()

    val storeAddress: String
        get() = "$HOST:${store.port}"

    private suspend fun answerStoreCall(exchange: ServerExchange) {
        val body =
            when (exchange.path) {
                PlatformPaths.KEY_RANGE -> """{"items":[${items()}],"truncated":false,"storeRevision":5}"""
                PlatformPaths.KEY_WATCH -> {
                    delay(WATCH_MILLIS)
                    """{"events":[${item("servers/e", endpoint("engine", ENGINE_MODELS))}],"storeRevision":5}"""
                }
                PlatformPaths.LEASE_GRANT -> """{"lease":1,"ttlMs":3000}"""
                else -> """{"revision":6}"""
            }
        exchange.respond(OK, listOf(PlatformHeaders.STORE_ERA to "1"), body.encodeToByteArray())
    }

    private fun items() =
        listOf(
            item("op/config", CONFIG),
            item("op/version/m", """{"model":"m","version":1}"""),
            item("servers/e", endpoint("engine", ENGINE_MODELS)),
            item("servers/d", endpoint("desk", "")),
        ).joinToString(",")

    private fun item(
        key: String,
        json: String,
    ): String {
        val value = Base64.getEncoder().encodeToString(json.encodeToByteArray())
        return """{"key":"$key","value":"$value","revision":5,"createRev":5,"lease":0}"""
    }

    private fun endpoint(
        service: String,
        models: String,
    ) = """{"service":"$service","address":"$HOST:${endpoints.port}","zone":"z","version":"v1","slots":48,
        "state":"ready","coldLeftMs":0,"sequence":1,"born":1000$models}"""

    private suspend fun answerCall(exchange: ServerExchange) {
        val id = exchange.headers.get(PlatformHeaders.REQUEST_ID).orEmpty()
        val headers = listOf(PlatformHeaders.REQUEST_ID to id, PlatformHeaders.WEIGHTS to "1")
        if (exchange.headers.get(PlatformHeaders.MODEL) == null) {
            exchange.respond(OK, headers, exchange.body)
            return
        }
        exchange.startStream(OK, headers + ("Content-Type" to "text/event-stream"))
        repeat(EVENTS) { exchange.write("id: ${it + 1}\ndata: piece\n\n".encodeToByteArray()) }
        exchange.finish()
    }

    override fun close() {
        store.close()
        endpoints.close()
    }

    companion object {
        /** Headers of a call with a prompt, and of any call, that the configuration of the stand-in allows. */
        val callHeaders: List<Pair<String, String>> =
            listOf("Host" to "h.example", PlatformHeaders.API_KEY to "k", PlatformHeaders.REMAINING_MILLIS to "3000")
        val promptHeaders: List<Pair<String, String>> =
            listOf(
                PlatformHeaders.MODEL to "m",
                PlatformHeaders.TOKEN_COUNTS to "300,20",
                PlatformHeaders.PROMPT_PARTS to "a1:100,b2:100,c3:100",
            )

        fun callId(number: Int): Pair<String, String> = PlatformHeaders.REQUEST_ID to "%016x".format(number)

        private const val HOST = "127.0.0.1"
        private const val OK = 200
        private const val EVENTS = 3
        private const val WATCH_MILLIS = 300L
        private const val ENGINE_MODELS = ""","models":[{"name":"m","version":1,"adapters":[]}]"""
        private const val CONFIG =
            """{"version":1,"routes":[{"name":"tag","host":"h.example","prefix":"/tag/","kind":"stream",
            "timeoutMs":3000,"latencyTargetMs":500,"priority":0,"service":"engine","maxAttempts":2,
            "public":false,"resumable":true},
            {"name":"lookup","host":"h.example","prefix":"/lookup/","kind":"idempotent",
            "timeoutMs":3000,"latencyTargetMs":500,"priority":0,"service":"desk","maxAttempts":2,"public":false}],
            "services":[{"name":"desk","maxConns":110},{"name":"engine","maxConns":300,
            "engine":{"slots":48,"kvCapTokens":200000,"moves":true,"models":[{"name":"m"}]}}],
            "tenants":[{"name":"acme","apiKeys":["k"],"ratePerS":100000,"burst":100000}]}"""
    }
}
