package lacewingweir.transport.gateway

import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import java.security.MessageDigest

/**
 * A call to a plain service as it is sent to an endpoint, without the caller's API key and with allow-listed headers
 * only. [target] is the raw path and query below `/services`.
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

    /** The exchange drops its body when its handler ends, but a claimed call may go on. */
    val body: ByteArray = context.exchange.body

    /**
     * Returns the SHA-256 digest of method, target and body in hexadecimal.
     *
     * The digest distinguishes a repeat of the call from another call with the same idempotency key.
     */
    fun digest(): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("$method $target\n".encodeToByteArray())
        return digest.digest(body).joinToString("") { "%02x".format(it) }
    }

    internal companion object {
        private const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
        private const val PATH_PREFIX: String = "/services"
        private val FORWARDED_HEADERS = listOf("Content-Type", "Accept", IDEMPOTENCY_KEY)

        fun of(
            context: RequestContext,
            route: Route,
            customer: CustomerId?,
        ): ServiceCall {
            val exchange = context.exchange
            val query = QueryKeyFilter.removeKeys(exchange.query)
            val forwardedHeaders =
                FORWARDED_HEADERS.mapNotNull { name -> exchange.headers.get(name)?.let { name to it } } +
                    listOf("X-Request-Id" to context.requestId.value) +
                    customer?.let { listOf("X-Customer" to it.value) }.orEmpty()
            return ServiceCall(
                context = context,
                route = route,
                customer = customer,
                target = exchange.rawPath.removePrefix(PATH_PREFIX) + if (query.isEmpty()) "" else "?$query",
                headers = forwardedHeaders,
                idempotencyKey = exchange.headers.get(IDEMPOTENCY_KEY),
            )
        }

        /**
         * Returns whether every server interprets the path in the same way.
         *
         * With dot segments, backslashes or escaped slashes, an endpoint could serve another path than the one whose
         * route was checked.
         */
        fun isUnambiguousPath(
            path: String,
            rawPath: String,
        ): Boolean {
            val lowerCaseRawPath = rawPath.lowercase()
            return path.split('/').none { it == "." || it == ".." } &&
                '\\' !in path &&
                "%2f" !in lowerCaseRawPath &&
                rawPath.startsWith("$PATH_PREFIX/")
        }
    }
}
