package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean

/** A [ClientResponse] on a [ClientConnection]. Calls [onEnd] once after the whole body was read. */
internal class NettyClientResponse(
    private val connection: ClientConnection,
    response: HttpResponse,
    private val onEnd: () -> Unit,
) : ClientResponse {
    private val ended = AtomicBoolean()

    override val status: Int = response.status().code()
    override val headers: HttpHeaders = response.headers()
    override val endsWithConnection: Boolean = !response.hasFraming()

    override suspend fun read(timeoutMillis: Long): ReadResult {
        if (ended.get()) return ReadResult.End
        val result =
            try {
                withTimeoutOrNull(timeoutMillis) { connection.readBody() }
                    ?: ReadResult.Broken("no data within $timeoutMillis ms")
            } catch (e: CancellationException) {
                close()
                throw e
            }
        when (result) {
            is ReadResult.Data -> Unit
            ReadResult.End -> if (ended.compareAndSet(false, true)) onEnd()
            is ReadResult.Broken -> close()
        }
        return result
    }

    override fun close() {
        if (ended.compareAndSet(false, true)) connection.close()
    }
}

/** Whether the end of the body can be told from the response itself. */
internal fun HttpResponse.hasFraming(): Boolean =
    HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)
