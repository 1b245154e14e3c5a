package lacewingweir.transport.gateway

import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.protocol.openai.ErrorObject
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.atomic.AtomicBoolean

/**
 * The response to a caller.
 *
 * Throws [IllegalStateException] instead of sending anything after the response has ended.
 */
internal class CallerResponse(
    private val exchange: ServerExchange,
    private val requestId: RequestId,
) {
    private val ended = AtomicBoolean()

    val started: Boolean
        get() = exchange.responseStarted

    val isEnded: Boolean
        get() = ended.get()

    /** Sends [refusal] as a complete response. */
    suspend fun refuse(
        refusal: Refusal,
        runState: RunState,
    ) {
        val retryAfter = refusal.retryAfterSeconds?.let { listOf("Retry-After" to it.toString()) }.orEmpty()
        val headers =
            listOf("Content-Type" to "application/json", RUN_STATE_HEADER to runState.headerValue) + retryAfter
        respond(refusal.status, headers, refusal.error.toJson().encodeToByteArray())
    }

    /** Sends a complete response. */
    suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) {
        markEnded()
        exchange.respond(status, headers + requestIdHeader(), body)
    }

    suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>>,
    ) {
        check(!ended.get()) { "the response to request $requestId has already ended" }
        exchange.startStream(status, headers + requestIdHeader())
    }

    suspend fun write(bytes: ByteArray) {
        check(!ended.get()) { "the response to request $requestId has already ended" }
        exchange.write(bytes)
    }

    suspend fun finish() {
        markEnded()
        exchange.finish()
    }

    /** Ends an event stream with an error event and closes the connection, because the response is incomplete. */
    suspend fun failStream(
        error: ErrorObject,
        resumeToken: String,
    ) {
        markEnded()
        val event = "event: error\nid: $resumeToken\ndata: ${error.toJson()}\n\n"
        // The timeout ends the stream even if the caller does not read from it.
        withTimeoutOrNull(ERROR_EVENT_TIMEOUT_MILLIS) { exchange.write(event.encodeToByteArray()) }
        exchange.abort()
    }

    /** Closes the connection, so that the caller can detect that a streamed response is incomplete. */
    fun abort() {
        ended.set(true)
        exchange.abort()
    }

    private fun markEnded() {
        check(ended.compareAndSet(false, true)) { "the response to request $requestId has already ended" }
    }

    private fun requestIdHeader(): Pair<String, String> = "X-Request-Id" to requestId.value

    internal companion object {
        const val RUN_STATE_HEADER: String = "X-Lacewingweir-Run"
        private const val ERROR_EVENT_TIMEOUT_MILLIS: Long = 500
    }
}
