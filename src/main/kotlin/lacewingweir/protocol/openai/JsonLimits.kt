/*
 * Messages of the OpenAI-compatible API for callers.
 *
 * Requests are kept as JSON objects, so that fields unknown to the router reach the engine unchanged. Only the fields
 * that the router uses are validated. An error includes the name of the invalid field.
 */
package lacewingweir.protocol.openai

/** Limits on a JSON document from a caller or an engine. Parsers report an exceeded limit in their result. */
public data class JsonLimits(
    val maxBytes: Int = 4 * 1024 * 1024,
    val maxDepth: Int = 32,
    val maxMessages: Int = 4_096,
    val maxModelChars: Int = 256,
    val maxAnswerTokens: Long = 1_000_000,
)
