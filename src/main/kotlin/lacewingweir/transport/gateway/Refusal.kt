package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.ErrorObject

/** An error response that ends a request. [retryAfterMillis] is set if a later retry may succeed. */
public data class Refusal(
    val status: Int,
    val error: ErrorObject,
    val retryAfterMillis: Long? = null,
) {
    /** The value of `Retry-After` in whole seconds, rounded up and at least 1. */
    public val retryAfterSeconds: Long?
        get() = retryAfterMillis?.let { ((it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).coerceAtLeast(1) }

    public companion object {
        private const val MILLIS_PER_SECOND: Long = 1_000
        private const val DEFAULT_RETRY_MILLIS: Long = 1_000

        /** Returns a 400 refusal for an invalid request. [param] names the invalid field or header. */
        public fun badRequest(
            code: String,
            message: String,
            param: String? = null,
        ): Refusal = Refusal(400, ErrorObject(message, "invalid_request_error", code, param))

        /** Returns a 401 refusal for a missing, ambiguous, unknown or withdrawn API key. */
        public fun unauthenticated(
            code: String,
            message: String,
        ): Refusal = Refusal(401, ErrorObject(message, "authentication_error", code))

        /** Returns a 403 refusal for an API key whose customer is not in the configuration. */
        public fun forbidden(message: String): Refusal =
            Refusal(403, ErrorObject(message, "permission_error", "forbidden"))

        /** Returns a 404 refusal for an unknown path or model. */
        public fun notFound(
            code: String,
            message: String,
            param: String? = null,
        ): Refusal = Refusal(404, ErrorObject(message, "not_found_error", code, param))

        /** Returns a 409 refusal for a repeat of a non-repeatable call whose outcome is not known. */
        public fun conflict(
            code: String,
            message: String,
        ): Refusal = Refusal(409, ErrorObject(message, "conflict_error", code))

        /** Returns a 413 refusal for a request body that exceeds a size limit. */
        public fun tooLarge(message: String): Refusal =
            Refusal(413, ErrorObject(message, "invalid_request_error", "request_too_large"))

        /** Returns a 429 refusal for a customer that exceeds its rate limit. */
        public fun overRate(
            message: String,
            retryAfterMillis: Long,
        ): Refusal = Refusal(429, ErrorObject(message, "rate_limit_error", "rate_limit_exceeded"), retryAfterMillis)

        /** Returns a 503 refusal for a request that cannot be served at the moment. */
        public fun unavailable(
            code: String,
            message: String,
            retryAfterMillis: Long = DEFAULT_RETRY_MILLIS,
        ): Refusal = Refusal(503, ErrorObject(message, "service_unavailable", code), retryAfterMillis)
    }
}
