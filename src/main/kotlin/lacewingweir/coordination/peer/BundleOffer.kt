package lacewingweir.coordination.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lacewingweir.state.bundle.SignedBundle

/** Carries a signed bundle that the receiver may lack. */
@Serializable
@SerialName("bundleOffer")
public data class BundleOffer(
    val bundle: SignedBundle,
) : PeerMessage
