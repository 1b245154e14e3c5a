package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.AdapterName
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/**
 * A model served by engines.
 *
 * [weights] is the version of the weights that must produce every completion. [bytesPerToken] is a lower bound for the
 * number of UTF-8 bytes in a token, so that `bytes / bytesPerToken`, rounded up, is an upper bound for the number of
 * prompt tokens at admission. [maxAnswerTokens] limits the completion if the caller sets no limit. [pieceTokens] is the
 * block size of the engines' prefix cache in tokens.
 */
@Serializable
public data class Model(
    val name: ModelName,
    val weights: WeightsVersion,
    val adapters: List<AdapterName> = emptyList(),
    val bytesPerToken: Int = 4,
    val maxAnswerTokens: Int = 1024,
    val pieceTokens: Int = 2000,
)
