package lacewingweir.transport.gateway

import lacewingweir.coordination.rate.Reservation
import lacewingweir.protocol.openai.ChatRequest
import lacewingweir.protocol.openai.Usage
import lacewingweir.protocol.resume.StreamPosition
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import lacewingweir.state.placement.PrefixChain

/** An admitted chat completion: its request, the progress of its response and the tokens charged to its reservation. */
internal class ChatCall(
    val context: RequestContext,
    val customer: CustomerId,
    val route: Route,
    model: Model,
    val chat: ChatRequest,
    val sink: CompletionSink,
    val startPosition: StreamPosition,
    val promptTokens: Long,
    val maxAnswerTokens: Long,
    private val reservation: Reservation,
) {
    var model: Model = model
        private set
    var nextIndex: Long = startPosition.nextIndex
        private set
    var finished: Boolean = startPosition.phase != StreamPosition.Phase.CONTENT
        private set

    /** The last computed prefix chain with its salt. */
    private var prefixChain: Pair<String, PrefixChain>? = null
    private var chargedPromptTokens = 0L

    /** Whether this call has received a chunk or was resumed after the last chunk. */
    val hasProgress: Boolean
        get() = nextIndex > startPosition.nextIndex || finished

    /**
     * Switches to another weights version.
     *
     * Must only be called before the first chunk, because one response must not mix weights versions.
     */
    fun updateModel(newModel: Model) {
        check(!hasProgress && !sink.started) { "a response from weights ${model.weights} has already begun" }
        model = newModel
    }

    /** Returns the prefix chain of the prompt for this [salt]. */
    fun prefixChain(salt: String): PrefixChain {
        prefixChain?.takeIf { it.first == salt }?.let { return it.second }
        val pieceBytes = model.pieceTokens * model.bytesPerToken
        val chain = PrefixChain.of(salt, chat.promptText.encodeToByteArray(), pieceBytes, model.pieceTokens)
        prefixChain = salt to chain
        return chain
    }

    /**
     * Charges the upper bound of the prompt tokens to the reservation when an engine accepts the request.
     *
     * Later calls have no effect, so that the prompt is charged only once for several attempts.
     */
    fun chargePrompt() {
        if (chargedPromptTokens > 0) return
        chargedPromptTokens = promptTokens
        reservation.consume(promptTokens)
    }

    /** Records a content chunk and charges one token to the reservation. */
    fun advance(
        index: Long,
        isLast: Boolean,
    ) {
        check(index == nextIndex && !finished) { "chunk index is $index, expected $nextIndex" }
        nextIndex = index + 1
        finished = isLast
        reservation.consume(1)
    }

    /** Charges the prompt tokens that the engine counted beyond those already charged. */
    fun chargeMissingPromptTokens(usage: Usage) {
        val missingTokens = usage.promptTokens - chargedPromptTokens
        if (missingTokens <= 0) return
        chargedPromptTokens += missingTokens
        reservation.consume(missingTokens)
    }
}
