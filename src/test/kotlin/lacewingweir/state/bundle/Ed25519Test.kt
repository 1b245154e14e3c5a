package lacewingweir.state.bundle

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class Ed25519Test {
    private val pair = Ed25519.newKeyPair()

    // Guards against accepting a bundle that was not signed by a trusted signer or was changed after signing.
    @Test
    fun `a signature verifies only with the signed text and the signer's key`() {
        val signature = checkNotNull(Ed25519.sign("text", pair.privateKey))
        expectThat(Ed25519.verify("text", signature, pair.publicKey)).isTrue()
        expectThat(Ed25519.verify("texts", signature, pair.publicKey)).isFalse()
        expectThat(Ed25519.verify("text", signature, Ed25519.newKeyPair().publicKey)).isFalse()
    }

    @Test
    fun `malformed keys and signatures are rejected without an exception`() {
        expectThat(Ed25519.verify("text", "AAAA", pair.publicKey)).isFalse()
        expectThat(Ed25519.verify("text", "not Base64!", pair.publicKey)).isFalse()
        expectThat(Ed25519.verify("text", "AAAA", "AAAA")).isFalse()
        expectThat(Ed25519.sign("text", pair.publicKey)).isNull()
        expectThat(Ed25519.isPublicKey(pair.privateKey)).isFalse()
    }
}
