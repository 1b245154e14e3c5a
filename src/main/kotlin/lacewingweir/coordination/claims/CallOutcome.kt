package lacewingweir.coordination.claims

import kotlinx.serialization.Serializable

/** The response of a plain service to a call that must not be repeated. [bodyBase64] is the response body in Base64. */
@Serializable
public data class CallOutcome(
    val status: Int,
    val contentType: String?,
    val bodyBase64: String,
)
