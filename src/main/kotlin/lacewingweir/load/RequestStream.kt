package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * Requests of one kind: [requestsPerSecond] on [model], whose prompts are drawn from [prompts] and end in
 * [suffixTokens] unique tokens. From [surgeFromSeconds] to [surgeToSeconds] the rate is multiplied by [surgeFactor].
 */
@Serializable
public data class RequestStream(
    val label: String,
    val model: String,
    val requestsPerSecond: Double,
    val prompts: PromptTree,
    val suffixTokens: Int = 50,
    val answerTokens: Int = 16,
    val surgeFactor: Double = 1.0,
    val surgeFromSeconds: Double = 0.0,
    val surgeToSeconds: Double = 0.0,
)
