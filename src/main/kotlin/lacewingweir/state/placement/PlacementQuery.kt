package lacewingweir.state.placement

/** The prompt of a request that needs an engine. */
public data class PlacementQuery(
    val prefix: PrefixChain,
    val promptTokens: Long,
)
