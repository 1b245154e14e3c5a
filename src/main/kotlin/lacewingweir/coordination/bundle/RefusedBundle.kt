package lacewingweir.coordination.bundle

import lacewingweir.state.id.BundleNumber

/** A bundle that was offered and not adopted. [source] is `store` or the name of a peer. */
public data class RefusedBundle(
    val number: BundleNumber,
    val operationId: String,
    val source: String,
    val reason: String,
)
