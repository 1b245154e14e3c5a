package lacewingweir.transport.gateway

import lacewingweir.protocol.openai.ErrorObject

/** A final answer that gives the request up. [retryAfterMillis] is set for refusals that pass with time. */
public data class Refusal(
    val status: Int,
    val error: ErrorObject,
    val retryAfterMillis: Long? = null,
) {
    /** `Retry-After` in whole seconds, rounded up and at least one. */
    public val retryAfterSeconds: Long?
        get() = retryAfterMillis?.let { ((it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).coerceAtLeast(1) }

    public companion object {
        private const val MILLIS_PER_SECOND: Long = 1_000
        private const val DEFAULT_RETRY_MILLIS: Long = 1_000

        /** 400 for a wrong request; [param] names the wrong field. */
        public fun badRequest(
            code: String,
            message: String,
            param: String? = null,
        ): Refusal = Refusal(400, ErrorObject(message, "invalid_request_error", code, param))

        /** 401 for a missing, unknown or withdrawn key. */
        public fun unauthenticated(
            code: String,
            message: String,
        ): Refusal = Refusal(401, ErrorObject(message, "authentication_error", code))

        /** 403 for a key whose customer may not use the fleet. */
        public fun forbidden(message: String): Refusal =
            Refusal(403, ErrorObject(message, "permission_error", "forbidden"))

        /** 404 for an unknown path or model. */
        public fun notFound(
            code: String,
            message: String,
            param: String? = null,
        ): Refusal = Refusal(404, ErrorObject(message, "not_found_error", code, param))

        /** 409 for a repeat of an unrepeatable call whose outcome isn't known. */
        public fun conflict(
            code: String,
            message: String,
        ): Refusal = Refusal(409, ErrorObject(message, "conflict_error", code))

        /** 413 for a request body over a size limit. */
        public fun tooLarge(message: String): Refusal =
            Refusal(413, ErrorObject(message, "invalid_request_error", "request_too_large"))

        /** 429 for a customer over its rate. */
        public fun overRate(
            message: String,
            retryAfterMillis: Long,
        ): Refusal = Refusal(429, ErrorObject(message, "rate_limit_error", "rate_limit_exceeded"), retryAfterMillis)

        /** 503 for a request that can't be served now. */
        public fun unavailable(
            code: String,
            message: String,
            retryAfterMillis: Long = DEFAULT_RETRY_MILLIS,
        ): Refusal = Refusal(503, ErrorObject(message, "service_unavailable", code), retryAfterMillis)
    }
}
