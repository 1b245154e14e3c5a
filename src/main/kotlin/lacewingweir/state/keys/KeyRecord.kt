package lacewingweir.state.keys

import kotlinx.serialization.Serializable
import lacewingweir.state.id.CustomerId
import lacewingweir.state.id.KeyDigest

/** A key granted or withdrawn outside the bundle. A withdrawal is a tombstone and is never removed. */
@Serializable
public data class KeyRecord(
    val digest: KeyDigest,
    val customer: CustomerId,
    val status: KeyStatus,
)
