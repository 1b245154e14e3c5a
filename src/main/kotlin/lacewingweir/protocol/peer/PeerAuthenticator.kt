package lacewingweir.protocol.peer

import kotlinx.serialization.SerializationException
import lacewingweir.coordination.peer.PeerAddress
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Authenticates both sides of a connection with a shared secret.
 *
 * Both sides exchange [PeerHello]s with fresh nonces. Then the dialer and after it the acceptor sends a proof: an
 * HMAC-SHA256 over its role and both hello frames. The dialer sends its proof first, so that an acceptor computes no
 * proof for a dialer without the secret. The role prevents a proof from being reflected to its sender. Frames after the
 * handshake are neither encrypted nor authenticated.
 *
 * @param secret the shared secret of the fleet
 * @throws IllegalArgumentException if [secret] is shorter than [MIN_SECRET_BYTES]
 */
public class PeerAuthenticator(
    secret: ByteArray,
    private val random: SecureRandom = SecureRandom(),
) {
    init {
        require(secret.size >= MIN_SECRET_BYTES) { "the peer secret must have at least $MIN_SECRET_BYTES bytes" }
    }

    private val key = SecretKeySpec(secret.copyOf(), ALGORITHM)

    /** Returns an encoded hello of [address] with a fresh nonce. */
    public fun newHello(address: PeerAddress): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return PeerCodec.cbor.encodeToByteArray(
            PeerHello.serializer(),
            PeerHello(PeerCodec.PROTOCOL_VERSION, address, nonce),
        )
    }

    /** Decodes the hello of the other side. Does not throw for malformed input. */
    public fun decodeHello(frame: ByteArray): PeerHelloResult =
        try {
            val hello = PeerCodec.decodeChecked(PeerHello.serializer(), frame)
            when {
                hello.version != PeerCodec.PROTOCOL_VERSION -> PeerHelloResult.UnsupportedVersion(hello.version)
                hello.nonce.size != NONCE_BYTES -> PeerHelloResult.Malformed("nonce of ${hello.nonce.size} bytes")
                else -> PeerHelloResult.Decoded(hello)
            }
        } catch (e: SerializationException) {
            PeerHelloResult.Malformed(e.message ?: "invalid CBOR")
        } catch (e: IllegalArgumentException) {
            PeerHelloResult.Malformed(e.message ?: "invalid value")
        } catch (e: IndexOutOfBoundsException) {
            PeerHelloResult.Malformed(e.message ?: "truncated CBOR")
        } catch (e: IllegalStateException) {
            PeerHelloResult.Malformed(e.message ?: "invalid CBOR")
        }

    /** Returns the proof of the side that opened the connection. */
    public fun dialerProof(
        dialerHello: ByteArray,
        acceptorHello: ByteArray,
    ): ByteArray = computeProof(DIALER_ROLE, dialerHello, acceptorHello)

    /** Returns the proof of the side that accepted the connection. */
    public fun acceptorProof(
        dialerHello: ByteArray,
        acceptorHello: ByteArray,
    ): ByteArray = computeProof(ACCEPTOR_ROLE, dialerHello, acceptorHello)

    /** Returns whether the proofs are equal. Compares them in constant time. */
    public fun matches(
        expected: ByteArray,
        received: ByteArray,
    ): Boolean = MessageDigest.isEqual(expected, received)

    private fun computeProof(
        role: Byte,
        dialerHello: ByteArray,
        acceptorHello: ByteArray,
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        mac.update(role)
        mac.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(dialerHello.size).array())
        mac.update(dialerHello)
        mac.update(acceptorHello)
        return mac.doFinal()
    }

    public companion object {
        /** The length of a proof. */
        public const val PROOF_BYTES: Int = 32

        /** The minimum length of the secret. */
        public const val MIN_SECRET_BYTES: Int = 16

        private const val ALGORITHM = "HmacSHA256"
        private const val NONCE_BYTES = 32
        private const val DIALER_ROLE: Byte = 1
        private const val ACCEPTOR_ROLE: Byte = 2
    }
}
