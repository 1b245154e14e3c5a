package lacewingweir.state.bundle

import kotlinx.serialization.Serializable
import lacewingweir.state.id.AdapterName
import lacewingweir.state.id.ModelName
import lacewingweir.state.id.WeightsVersion

/**
 * A model served by engines.
 *
 * [weights] is the version that every answer must come from. [bytesPerToken] is a lower bound of UTF-8 bytes in a
 * token, so that `bytes / bytesPerToken`, rounded up, is an upper bound of prompt tokens at admission.
 * [maxAnswerTokens] bounds the answer when the caller names no limit. [pieceTokens] is the size of the engines' cache
 * pieces.
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
