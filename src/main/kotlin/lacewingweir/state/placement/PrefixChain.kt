package lacewingweir.state.placement

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Hashes of a prompt's prefixes, one for each whole piece, shortest prefix first.
 *
 * Two prompts with the same salt have equal [hashes] up to the last whole piece of their common prefix. A prompt
 * shorter than one piece has a single hash of its whole text, so that equal short prompts have equal hashes.
 */
public class PrefixChain private constructor(
    public val hashes: LongArray,
    public val pieceTokens: Int,
) {
    /** The number of pieces. */
    public val size: Int
        get() = hashes.size

    public companion object {
        private const val DIGEST: String = "SHA-256"

        /**
         * Returns the hashes of [prompt] in pieces of [pieceBytes] bytes, which stand for [pieceTokens] tokens each.
         *
         * [salt] must identify the customer, model, adapter and weights version.
         *
         * @throws IllegalArgumentException if [pieceBytes] is not positive.
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
