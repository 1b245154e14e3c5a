package lacewingweir.protocol.settings

/**
 * Maximum ages, in milliseconds, of the last proof that the instance is not partitioned from the fleet.
 *
 * @property keyFreshnessMillis the maximum age at which the instance accepts caller keys. An older proof could hide a
 *   withdrawn key.
 * @property authorityMillis the maximum age at which the instance uses its base share of the customers' rates.
 */
public data class ContactProofLimits(
    val keyFreshnessMillis: Long = 3_000,
    val authorityMillis: Long = 5_000,
)
