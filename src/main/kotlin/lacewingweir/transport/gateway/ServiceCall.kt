package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import java.security.MessageDigest

/**
 * A call of a plain service as it is sent to an endpoint: without the caller's key, with allow-listed headers only.
 */
internal class ServiceCall private constructor(
    val context: RequestContext,
    val route: Route,
    val customer: CustomerId?,
    val target: String,
    val headers: List<Pair<String, String>>,
    val idempotencyKey: String?,
) {
    val method: String
        get() = context.exchange.method
    val body: ByteArray
        get() = context.exchange.body

    /** Identifies method, target and body, so that a reused idempotency key can be told from a repeat. */
    fun digest(): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("$method $target\n".encodeToByteArray())
        return digest.digest(body).joinToString("") { "%02x".format(it) }
    }

    internal companion object {
        private const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
        private const val PREFIX: String = "/services"
        private val PASSED_HEADERS = listOf("Content-Type", "Accept", IDEMPOTENCY_KEY)

        fun of(
            context: RequestContext,
            route: Route,
            customer: CustomerId?,
        ): ServiceCall {
            val exchange = context.exchange
            val query = QueryFilter.strip(exchange.query)
            val passed =
                PASSED_HEADERS.mapNotNull { name -> exchange.headers.get(name)?.let { name to it } } +
                    listOf("X-Request-Id" to context.requestId.value) +
                    customer?.let { listOf("X-Customer" to it.value) }.orEmpty()
            return ServiceCall(
                context = context,
                route = route,
                customer = customer,
                target = exchange.rawPath.removePrefix(PREFIX) + if (query.isEmpty()) "" else "?$query",
                headers = passed,
                idempotencyKey = exchange.headers.get(IDEMPOTENCY_KEY),
            )
        }

        /**
         * Whether the path means the same to every reader. Dot segments and escaped slashes could lead an endpoint to
         * another path than the one whose route was checked.
         */
        fun isPlainPath(
            path: String,
            rawPath: String,
        ): Boolean {
            val lower = rawPath.lowercase()
            return path.split('/').none { it == "." || it == ".." } &&
                '\\' !in path &&
                "%2f" !in lower &&
                rawPath.startsWith("$PREFIX/")
        }
    }
}
