package lacewingweir.load

import kotlinx.serialization.Serializable

/**
 * A stream of similar requests of a customer.
 *
 * Each prompt is a random path of [prompts] followed by [suffixTokens] unique tokens. The mean arrival rate is
 * [requestsPerSecond], multiplied by [surgeFactor] from [surgeFromSeconds] to [surgeToSeconds] after the start.
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
