package lacewingweir.standin.engine

/**
 * Options of a [StandinEngine].
 *
 * @property port the port to bind; zero selects a free port.
 * @property slots the maximum number of concurrent requests.
 * @property cachePieces the capacity of the prefix cache in pieces of [pieceTokens] tokens.
 * @property idleEvictionMillis the time after which an unused piece is evicted.
 * @property prefillMillisPerPiece the prefill time of a piece that is not cached, in proportion for a partial piece.
 *   The prefills of different requests run one at a time.
 * @property decodeMillisPerToken the time for each token of the answer.
 * @property answerTokens the length of an answer, unless the request sets a lower limit.
 * @property loadMillis the time to load a model.
 * @property ignoreFencing whether load commands with an outdated fencing token take effect.
 * @property capture whether the statistics contain all requests.
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
