package lacewingweir.state.placement

/** The prompt of a request to be placed on an engine. */
public data class PlacementQuery(
    val prefix: PrefixChain,
    val promptTokens: Long,
)
