package lacewingweir.transport.relay

/**
 * Bounds of the request path.
 *
 * [maxKeyProofAgeMillis] is the greatest age of the contact proof with which keyed calls are served: the platform's bound
 * for withdrawn keys less the way to the endpoint. With a proof younger than [maxRefusalProofAgeMillis] an unknown route
 * or key is refused for good; with an older one it may exist by now. A call waits up to [placementWaitMillis] for an
 * endpoint while all are loading or gone. Calls whose expected wait exceeds [usableShareOfTimeLeft] of their time are
 * turned away. The other figures are the least `Retry-After` of each refusal, in milliseconds.
 */
internal data class RelayLimits(
    val maxKeyProofAgeMillis: Long,
    val maxRefusalProofAgeMillis: Long = 2_500,
    val placementWaitMillis: Long = 1_000,
    val usableShareOfTimeLeft: Double = 0.8,
    val uninformedRetryMillis: Long = 100,
    val noEndpointRetryMillis: Long = 300,
    val overloadRetryMillis: Long = 300,
    val notRunRetryMillis: Long = 150,
)
