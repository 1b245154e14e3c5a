package lacewingweir.standin.engine

import java.security.MessageDigest

/**
 * The answer of every stand-in engine to a prompt.
 *
 * The answer depends only on the prompt, the model and the weights version, so that any engine can continue the stream
 * of another engine. The text of a chunk contains an id of the answer and the index of the chunk, so that a lost or
 * reordered chunk, or a chunk of another answer, can be detected.
 */
public class StandinAnswer private constructor(
    private val id: String,
) {
    /** Returns the text of the chunk at [index]. */
    public fun chunk(index: Int): String = "$id-$index "

    /** Returns the text of a complete answer of [tokens] tokens. */
    public fun text(tokens: Int): String = (0 until tokens).joinToString("") { chunk(it) }

    public companion object {
        private const val ID_BYTES: Int = 4

        /** Returns the answer to [prompt], the prompt text as engines and routers join it from the messages. */
        public fun of(
            model: String,
            weights: String,
            prompt: String,
        ): StandinAnswer {
            val digest = MessageDigest.getInstance("SHA-256")
            val hash = digest.digest("$model\u0000$weights\u0000$prompt".encodeToByteArray())
            return StandinAnswer(hash.take(ID_BYTES).joinToString("") { "%02x".format(it) })
        }
    }
}
