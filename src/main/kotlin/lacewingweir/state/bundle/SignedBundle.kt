package lacewingweir.state.bundle

import kotlinx.serialization.Serializable

/**
 * A bundle as published: the exact JSON text that was signed, and its Ed25519 signature.
 *
 * [signature] is the Base64 signature of the UTF-8 bytes of [payload]. [signer] is the name of the signing key in the
 * instances' settings. [operationId] is unique to one publication, so that a publisher whose write has an unknown
 * result can read the store and recognize its own bundle.
 */
@Serializable
public data class SignedBundle(
    val payload: String,
    val signature: String,
    val signer: String,
    val operationId: String,
)
