package lacewingweir.transport.relay

/**
 * Limits of relaying calls.
 *
 * Calls with a key are served only while the contact proof is at most [maxKeyProofAgeMillis] old. This is the time
 * within which the platform requires a withdrawn key to stop working, less the time for sending to the endpoint.
 *
 * An unknown route or key is refused as such while the proof is at most [maxRefusalProofAgeMillis] old. With an older
 * proof the call is refused as [RelayRefusal.NO_CURRENT_CONFIG], because the route or key may have been added since.
 *
 * A call waits up to [placementWaitMillis] for an endpoint while all are loading weights or are gone. It is refused as
 * [RelayRefusal.OVERLOADED] if its expected wait exceeds the share [usableShareOfRemainingTime] of its remaining time.
 * The other properties are the minimum `Retry-After` of each refusal, in milliseconds.
 */
internal data class RelayLimits(
    val maxKeyProofAgeMillis: Long,
    val maxRefusalProofAgeMillis: Long = 2_500,
    val placementWaitMillis: Long = 1_000,
    val usableShareOfRemainingTime: Double = 0.8,
    val noCurrentConfigRetryMillis: Long = 100,
    val noEndpointRetryMillis: Long = 300,
    val overloadRetryMillis: Long = 300,
    val notRunRetryMillis: Long = 150,
    val blockedRetryMillis: Long = 600_000,
    val suspectedRetryMillis: Long = 400,
    val cannotContinueRetryMillis: Long = 2_000,
    val unknownOriginRetryMillis: Long = 500,
    val noShareRetryMillis: Long = 500,
    val stoppingRetryMillis: Long = 20,
)
