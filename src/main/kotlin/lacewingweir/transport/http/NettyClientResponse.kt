package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CancellationException
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A [ClientResponse] on a [ClientConnection]. Calls [onEnd] once after the whole body was read.
 *
 * @property detector looks for other responses inside the body, or null if responses name no requests
 */
internal class NettyClientResponse(
    private val connection: ClientConnection,
    response: HttpResponse,
    private val detector: SecondHeadDetector?,
    private val onEnd: () -> Unit,
) : ClientResponse {
    private val ended = AtomicBoolean()

    /** Whether the connection has delivered the whole body. */
    private var received = false

    override val status: Int = response.status().code()
    override val headers: HttpHeaders = response.headers()
    override val endsWithConnection: Boolean = !response.hasFraming()

    override suspend fun read(timeoutMillis: Long): ReadResult {
        if (ended.get()) return ReadResult.End
        var result: ReadResult? = null
        while (result == null) result = if (received) ReadResult.End else ownPart(receive(timeoutMillis))
        when (result) {
            is ReadResult.Data -> Unit
            ReadResult.End -> if (ended.compareAndSet(false, true)) onEnd()
            is ReadResult.Broken -> close()
        }
        return result
    }

    private suspend fun receive(timeoutMillis: Long): ReadResult =
        try {
            withLoopTimeoutOrNull(timeoutMillis) { connection.readBody() }
                ?: ReadResult.Broken("no data within $timeoutMillis ms", timedOut = true)
        } catch (e: CancellationException) {
            close()
            throw e
        }

    /** Returns the part of [result] that is known to belong to the body, or null if there is none yet. */
    private fun ownPart(result: ReadResult): ReadResult? {
        if (detector == null || result is ReadResult.Broken) return result
        val bytes =
            when (result) {
                is ReadResult.Data -> detector.feed(result.bytes)
                else -> detector.finish(connection.followed, endsWithConnection)
            }
        received = result is ReadResult.End
        return when {
            detector.found -> ReadResult.Broken("a second response begins inside the body")
            bytes.isNotEmpty() -> ReadResult.Data(bytes)
            received -> ReadResult.End
            else -> null
        }
    }

    override fun close() {
        if (ended.compareAndSet(false, true)) connection.close()
    }
}

/** Whether the end of the body can be told from the response itself. */
internal fun HttpResponse.hasFraming(): Boolean =
    HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)
