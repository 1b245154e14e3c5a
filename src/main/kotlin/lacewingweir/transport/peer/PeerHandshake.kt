package lacewingweir.transport.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import lacewingweir.coordination.peer.PeerAddress
import lacewingweir.protocol.peer.PeerAuthenticator
import lacewingweir.protocol.peer.PeerHelloResult

/** Authenticates both sides of a new connection by an exchange of hellos and proofs. */
internal class PeerHandshake(
    private val authenticator: PeerAuthenticator,
) {
    sealed interface Result {
        class Accepted(
            val peer: PeerAddress,
        ) : Result

        class Refused(
            val reason: String,
        ) : Result
    }

    /** Runs the handshake on the side that opened the connection. Suspends without a time limit. */
    suspend fun dial(
        self: PeerAddress,
        input: ByteReadChannel,
        output: ByteWriteChannel,
    ): Result {
        val ownHello = authenticator.newHello(self)
        send(output, ownHello)
        val peerHello = receive(input, MAX_HELLO_BYTES) ?: return Result.Refused(INVALID_LENGTH)
        send(output, authenticator.dialerProof(ownHello, peerHello))
        val proof = receive(input, PeerAuthenticator.PROOF_BYTES) ?: return Result.Refused(INVALID_LENGTH)
        return verify(peerHello, authenticator.acceptorProof(ownHello, peerHello), proof)
    }

    /** Runs the handshake on the side that accepted the connection. Suspends without a time limit. */
    suspend fun accept(
        self: PeerAddress,
        input: ByteReadChannel,
        output: ByteWriteChannel,
    ): Result {
        val peerHello = receive(input, MAX_HELLO_BYTES) ?: return Result.Refused(INVALID_LENGTH)
        val ownHello = authenticator.newHello(self)
        send(output, ownHello)
        val proof = receive(input, PeerAuthenticator.PROOF_BYTES) ?: return Result.Refused(INVALID_LENGTH)
        val result = verify(peerHello, authenticator.dialerProof(peerHello, ownHello), proof)
        if (result is Result.Accepted) send(output, authenticator.acceptorProof(peerHello, ownHello))
        return result
    }

    private fun verify(
        peerHello: ByteArray,
        expectedProof: ByteArray,
        proof: ByteArray,
    ): Result {
        if (!authenticator.matches(expectedProof, proof)) return Result.Refused("proof does not match the secret")
        return when (val hello = authenticator.decodeHello(peerHello)) {
            is PeerHelloResult.Decoded -> Result.Accepted(hello.hello.address)
            is PeerHelloResult.UnsupportedVersion -> Result.Refused("unsupported protocol version ${hello.version}")
            is PeerHelloResult.Malformed -> Result.Refused("malformed hello: ${hello.reason}")
        }
    }

    private suspend fun send(
        output: ByteWriteChannel,
        frame: ByteArray,
    ) {
        PeerConnection.writeFrame(output, frame)
        output.flush()
    }

    private suspend fun receive(
        input: ByteReadChannel,
        maxBytes: Int,
    ): ByteArray? = PeerConnection.readFrame(input, maxBytes)

    private companion object {
        const val MAX_HELLO_BYTES = 4_096
        const val INVALID_LENGTH = "frame length out of range during the handshake"
    }
}
