package lacewingweir.state.bundle

import kotlinx.serialization.Serializable

/**
 * A bundle as published: the exact JSON text that was signed, with its Ed25519 signature.
 *
 * [signature] is Base64 over the UTF-8 bytes of [payload]. [signer] names the trusted key in the instances' settings.
 * [operationId] is unique to one publication, so that a lost answer of the store can be settled by reading back.
 */
@Serializable
public data class SignedBundle(
    val payload: String,
    val signature: String,
    val signer: String,
    val operationId: String,
)
