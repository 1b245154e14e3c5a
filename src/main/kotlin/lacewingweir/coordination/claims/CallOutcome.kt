package lacewingweir.coordination.claims

import kotlinx.serialization.Serializable

/** The answer of a plain service to an unrepeatable call, kept with its claim. [bodyBase64] is the body in Base64. */
@Serializable
public data class CallOutcome(
    val status: Int,
    val contentType: String?,
    val bodyBase64: String,
)
