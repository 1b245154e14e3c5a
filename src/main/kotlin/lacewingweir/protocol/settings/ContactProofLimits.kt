package lacewingweir.protocol.settings

/** Greatest age of the contact proof for honouring keys and for spending the base share; design section 5.2. */
public data class ContactProofLimits(
    val keyFreshnessMillis: Long = 3_000,
    val authorityMillis: Long = 5_000,
)
