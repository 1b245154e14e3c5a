package lacewingweir.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Results of a stream of requests, or of all requests.
 *
 * Times to first token are in milliseconds since the scheduled arrival.
 *
 * @property complete the number of complete answers.
 * @property refused the number of refused requests by status. Status 0 means that the request could not be sent.
 * @property explicitErrors the number of answers that ended with an error event.
 * @property broken the number of answers that were missing, truncated without an error event or incomplete. Must be
 *   zero.
 */
@Serializable
public data class StreamReport(
    val customer: String,
    val label: String,
    val sent: Long,
    @SerialName("whole") val complete: Long,
    val refused: Map<Int, Long>,
    val explicitErrors: Long,
    val broken: Long,
    val firstTokenP50: Double,
    val firstTokenP99: Double,
    val firstTokenP999: Double,
    val promptTokens: Long,
    val cachedTokens: Long,
    val answerTokens: Long,
) {
    /** The fraction of the prompt tokens that were cached by the engines. */
    public val hitRate: Double
        get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens
}
