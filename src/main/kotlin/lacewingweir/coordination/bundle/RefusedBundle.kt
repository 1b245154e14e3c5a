package lacewingweir.coordination.bundle

import lacewingweir.state.id.BundleNumber

/**
 * A bundle that was received and not adopted.
 *
 * [number] is [BundleNumber.NONE] if the bundle was refused before its number was validated. [source] is `store` or the
 * name of a peer.
 */
public data class RefusedBundle(
    val number: BundleNumber,
    val operationId: String,
    val source: String,
    val reason: String,
)
