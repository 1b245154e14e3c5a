package lacewingweir.state.bundle

import java.security.GeneralSecurityException
import java.security.KeyFactory
import java.security.KeyPairGenerator
import java.security.PrivateKey
import java.security.PublicKey
import java.security.Signature
import java.security.spec.PKCS8EncodedKeySpec
import java.security.spec.X509EncodedKeySpec
import java.util.Base64

/** Signs and verifies UTF-8 text with Ed25519. Keys and signatures are encoded as Base64. */
public object Ed25519 {
    private const val ALGORITHM: String = "Ed25519"

    /** Generates a key pair: the private key in PKCS#8 form and the public key in X.509 form. */
    public fun newKeyPair(): SigningKeyPair {
        val pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair()
        return SigningKeyPair(encode(pair.private.encoded), encode(pair.public.encoded))
    }

    /** Returns the signature of [text], or null if [privateKey] is not an Ed25519 private key in PKCS#8 form. */
    public fun sign(
        text: String,
        privateKey: String,
    ): String? {
        val key = privateKeyOrNull(privateKey) ?: return null
        val signature = Signature.getInstance(ALGORITHM)
        signature.initSign(key)
        signature.update(text.encodeToByteArray())
        return encode(signature.sign())
    }

    /** Returns whether [signature] is valid for [text] and [publicKey]. Malformed input yields false. */
    public fun verify(
        text: String,
        signature: String,
        publicKey: String,
    ): Boolean {
        val key = publicKeyOrNull(publicKey) ?: return false
        val bytes = decode(signature) ?: return false
        return try {
            val verifier = Signature.getInstance(ALGORITHM)
            verifier.initVerify(key)
            verifier.update(text.encodeToByteArray())
            verifier.verify(bytes)
        } catch (_: GeneralSecurityException) {
            false
        }
    }

    /** Returns whether [text] is an Ed25519 public key in X.509 form. */
    public fun isPublicKey(text: String): Boolean = publicKeyOrNull(text) != null

    private fun publicKeyOrNull(text: String): PublicKey? =
        parseOrNull { decode(text)?.let { KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(it)) } }

    private fun privateKeyOrNull(text: String): PrivateKey? =
        parseOrNull { decode(text)?.let { KeyFactory.getInstance(ALGORITHM).generatePrivate(PKCS8EncodedKeySpec(it)) } }

    private fun <T> parseOrNull(parse: () -> T?): T? =
        try {
            parse()
        } catch (_: GeneralSecurityException) {
            null
        }

    private fun encode(bytes: ByteArray): String = Base64.getEncoder().encodeToString(bytes)

    private fun decode(text: String): ByteArray? =
        try {
            Base64.getDecoder().decode(text.trim())
        } catch (_: IllegalArgumentException) {
            null
        }
}
