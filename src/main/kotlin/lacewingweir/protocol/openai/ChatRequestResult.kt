package lacewingweir.protocol.openai

/** Outcome of parsing a chat completion request. */
public sealed interface ChatRequestResult {
    /** The request is usable. */
    public class Parsed(
        public val request: ChatRequest,
    ) : ChatRequestResult

    /** The request is wrong. [field] names the JSON field, or is null if the document as a whole is wrong. */
    public data class Invalid(
        val field: String?,
        val message: String,
        val tooLarge: Boolean = false,
    ) : ChatRequestResult
}
