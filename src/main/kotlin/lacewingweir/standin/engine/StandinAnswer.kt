package lacewingweir.standin.engine

import java.security.MessageDigest

/**
 * The answer that every stand-in engine gives to a prompt.
 *
 * It depends only on prompt, model and weights version, so that any engine continues the stream of another one. Each
 * chunk names the answer it belongs to and its index, which makes a lost, moved or foreign chunk visible.
 */
public class StandinAnswer private constructor(
    private val id: String,
) {
    /** Text of the chunk at [index]. */
    public fun chunk(index: Int): String = "$id-$index "

    /** Text of the whole answer of [tokens] tokens. */
    public fun text(tokens: Int): String = (0 until tokens).joinToString("") { chunk(it) }

    public companion object {
        private const val ID_BYTES: Int = 4

        /** The answer to [prompt], which is the prompt text as engines and routers join it from the messages. */
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
