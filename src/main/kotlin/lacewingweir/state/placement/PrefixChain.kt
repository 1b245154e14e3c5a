package lacewingweir.state.placement

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Chained hashes of a prompt's pieces, one per whole piece, outermost first.
 *
 * Two prompts share [hashes] up to the last whole piece that they have in common, and only under the same salt. A
 * prompt shorter than one piece has a single hash of all of it, so that equal short prompts still meet.
 */
public class PrefixChain private constructor(
    public val hashes: LongArray,
    public val pieceTokens: Int,
) {
    /** Number of pieces. */
    public val size: Int
        get() = hashes.size

    public companion object {
        private const val DIGEST: String = "SHA-256"

        /**
         * Hashes [prompt] in pieces of [pieceBytes] bytes, starting from [salt], which must identify the customer,
         * model, adapter and weights version.
         */
        public fun of(
            salt: String,
            prompt: ByteArray,
            pieceBytes: Int,
            pieceTokens: Int,
        ): PrefixChain {
            require(pieceBytes > 0) { "pieceBytes must be positive" }
            val digest = MessageDigest.getInstance(DIGEST)
            var previous = digest.digest(salt.encodeToByteArray())
            val pieces = (prompt.size / pieceBytes).coerceAtLeast(1)
            val hashes =
                LongArray(pieces) { n ->
                    val from = n * pieceBytes
                    val to = minOf(from + pieceBytes, prompt.size)
                    digest.update(previous)
                    digest.update(prompt, from, to - from)
                    previous = digest.digest()
                    ByteBuffer.wrap(previous).long
                }
            return PrefixChain(hashes, pieceTokens)
        }
    }
}
