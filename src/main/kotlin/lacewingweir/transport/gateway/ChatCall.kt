package lacewingweir.transport.gateway

import lacewingweir.coordination.rate.Reservation
import lacewingweir.protocol.openai.ChatRequest
import lacewingweir.protocol.openai.Usage
import lacewingweir.protocol.resume.StreamPosition
import lacewingweir.state.bundle.Model
import lacewingweir.state.bundle.Route
import lacewingweir.state.id.CustomerId
import lacewingweir.state.placement.PrefixChain

/** One chat completion after admission: what is asked, how far the answer has come, and what was counted for it. */
internal class ChatCall(
    val context: RequestContext,
    val customer: CustomerId,
    val route: Route,
    model: Model,
    val chat: ChatRequest,
    val sink: AnswerSink,
    val start: StreamPosition,
    val promptTokens: Long,
    val maxAnswerTokens: Long,
    private val reservation: Reservation,
) {
    var model: Model = model
        private set
    var nextIndex: Long = start.nextIndex
        private set
    var finished: Boolean = start.phase != StreamPosition.Phase.CONTENT
        private set
    private var prefix: Pair<String, PrefixChain>? = null
    private var promptSettled = 0L

    /** Whether any chunk of this call was received. */
    val hasProgress: Boolean
        get() = nextIndex > start.nextIndex || finished

    /** Uses another weights version. Only before the first chunk, as versions must not mix in one answer. */
    fun useModel(newer: Model) {
        check(!hasProgress && !sink.started) { "an answer of weights ${model.weights} has already begun" }
        model = newer
    }

    fun prefix(salt: String): PrefixChain {
        prefix?.takeIf { it.first == salt }?.let { return it.second }
        val pieceBytes = model.pieceTokens * model.bytesPerToken
        val chain = PrefixChain.of(salt, chat.promptText.encodeToByteArray(), pieceBytes, model.pieceTokens)
        prefix = salt to chain
        return chain
    }

    /** Counts the prompt once, when the first engine accepted the request. */
    fun settlePrompt() {
        if (promptSettled > 0) return
        promptSettled = promptTokens
        reservation.consume(promptTokens)
    }

    fun advance(
        index: Long,
        last: Boolean,
    ) {
        check(index == nextIndex && !finished) { "chunk $index instead of $nextIndex" }
        nextIndex = index + 1
        finished = last
        reservation.consume(1)
    }

    /** Counts what the engine used beyond the upper bound that was settled for the prompt. */
    fun correctPrompt(usage: Usage) {
        val missing = usage.promptTokens - promptSettled
        if (missing <= 0) return
        promptSettled += missing
        reservation.consume(missing)
    }
}
