package lacewingweir.standin.engine

/**
 * Options of a [StandinEngine].
 *
 * Port zero binds a free port. [slots] requests run at once. The cache holds [cachePieces] pieces of [pieceTokens]
 * tokens and drops a piece that was not used for [idleEvictionMillis]. A missed piece takes [prefillMillisPerPiece]
 * and the rest of a prompt its proportion of that; prefill of different requests is serial. Each token of the answer
 * takes [decodeMillisPerToken]. Answers have [answerTokens] tokens, or fewer if the request sets a lower limit. With
 * [ignoreFencing] load commands with an old number take effect. With [capture] the statistics contain all requests.
 */
public data class StandinEngineOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val models: List<StandinModel> = listOf(StandinModel("model", "v1")),
    val slots: Int = 32,
    val cachePieces: Int = 1_000,
    val pieceTokens: Int = 2_000,
    val idleEvictionMillis: Long = 30_000,
    val prefillMillisPerPiece: Long = 40,
    val decodeMillisPerToken: Long = 5,
    val answerTokens: Int = 64,
    val loadMillis: Long = 500,
    val ignoreFencing: Boolean = false,
    val capture: Boolean = false,
) {
    init {
        require(slots > 0 && cachePieces >= 0 && pieceTokens > 0 && answerTokens > 0) { "sizes must be positive" }
    }
}
