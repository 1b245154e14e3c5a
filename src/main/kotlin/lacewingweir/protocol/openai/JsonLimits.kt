/*
 * Messages of the OpenAI-compatible API towards callers.
 *
 * Requests are kept as a JSON object, so that fields unknown to the router reach the engine unchanged. Only what the
 * router decides on is checked, and every mistake is reported with the name of its field.
 */
package lacewingweir.protocol.openai

/** Bounds on a JSON document from outside. Exceeding one is a typed error and never an exception. */
public data class JsonLimits(
    val maxBytes: Int = 4 * 1024 * 1024,
    val maxDepth: Int = 32,
    val maxMessages: Int = 4_096,
    val maxModelChars: Int = 256,
    val maxAnswerTokens: Long = 1_000_000,
)
