package lacewingweir.protocol.openai

/** Result of parsing a chat completion request. */
public sealed interface ChatRequestResult {
    /** The request is valid. */
    public class Parsed(
        public val request: ChatRequest,
    ) : ChatRequestResult

    /** The request is invalid. [field] is the path of the invalid field, or null if the document itself is invalid. */
    public data class Invalid(
        val field: String?,
        val message: String,
        val tooLarge: Boolean = false,
    ) : ChatRequestResult
}
