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

/** Ed25519 signatures of the JDK over UTF-8 texts, with keys and signatures as Base64. */
public object Ed25519 {
    private const val ALGORITHM: String = "Ed25519"

    /** A new key pair: the private key in PKCS#8 form and the public key in X.509 form. */
    public fun newKeyPair(): SigningKeyPair {
        val pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair()
        return SigningKeyPair(encode(pair.private.encoded), encode(pair.public.encoded))
    }

    /** Signs [text]. Returns null if [privateKey] is not a private key in PKCS#8 form. */
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

    /** Whether [signature] over [text] was made with the private key of [publicKey]. Malformed input gives false. */
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

    /** Whether [text] is a public key in X.509 form. */
    public fun isPublicKey(text: String): Boolean = publicKeyOrNull(text) != null

    private fun publicKeyOrNull(text: String): PublicKey? =
        orNull { decode(text)?.let { KeyFactory.getInstance(ALGORITHM).generatePublic(X509EncodedKeySpec(it)) } }

    private fun privateKeyOrNull(text: String): PrivateKey? =
        orNull { decode(text)?.let { KeyFactory.getInstance(ALGORITHM).generatePrivate(PKCS8EncodedKeySpec(it)) } }

    private fun <T> orNull(parse: () -> T?): T? =
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
