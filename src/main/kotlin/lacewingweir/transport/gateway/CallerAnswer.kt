package lacewingweir.transport.gateway

import kotlinx.coroutines.withTimeoutOrNull
import lacewingweir.protocol.openai.ErrorObject
import lacewingweir.state.id.RequestId
import lacewingweir.transport.http.ServerExchange
import java.util.concurrent.atomic.AtomicBoolean

/** The answer to a caller. Fails the request rather than send a second terminal answer. */
internal class CallerAnswer(
    private val exchange: ServerExchange,
    private val requestId: RequestId,
) {
    private val ended = AtomicBoolean()

    val started: Boolean
        get() = exchange.responseStarted

    val isEnded: Boolean
        get() = ended.get()

    suspend fun refuse(
        refusal: Refusal,
        runState: RunState,
    ) {
        val retryAfter = refusal.retryAfterSeconds?.let { listOf("Retry-After" to it.toString()) }.orEmpty()
        val headers = listOf("Content-Type" to "application/json", RUN_HEADER to runState.header) + retryAfter
        whole(refusal.status, headers, refusal.error.toJson().encodeToByteArray())
    }

    suspend fun whole(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) {
        end()
        exchange.respond(status, headers + idHeader(), body)
    }

    suspend fun startStream(
        status: Int,
        headers: List<Pair<String, String>>,
    ) {
        check(!ended.get()) { "request $requestId already has its terminal answer" }
        exchange.startStream(status, headers + idHeader())
    }

    suspend fun write(bytes: ByteArray) {
        check(!ended.get()) { "request $requestId already has its terminal answer" }
        exchange.write(bytes)
    }

    suspend fun finish() {
        end()
        exchange.finish()
    }

    /** Ends an event stream with an error event. The connection is closed, as the answer is not whole. */
    suspend fun failStream(
        error: ErrorObject,
        resumeToken: String,
    ) {
        end()
        val event = "event: error\nid: $resumeToken\ndata: ${error.toJson()}\n\n"
        // A caller that doesn't read must not keep a stream open that has to end.
        withTimeoutOrNull(ERROR_EVENT_TIMEOUT_MILLIS) { exchange.write(event.encodeToByteArray()) }
        exchange.abort()
    }

    /** Closes the connection, so that a streamed answer shows as cut. */
    fun abort() {
        ended.set(true)
        exchange.abort()
    }

    private fun end() {
        check(ended.compareAndSet(false, true)) { "request $requestId already has its terminal answer" }
    }

    private fun idHeader(): Pair<String, String> = "X-Request-Id" to requestId.value

    internal companion object {
        const val RUN_HEADER: String = "X-Lacewingweir-Run"
        private const val ERROR_EVENT_TIMEOUT_MILLIS: Long = 500
    }
}
