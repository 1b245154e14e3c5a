/** Codecs of a server connection that know whether a request has begun to arrive. */
package lacewingweir.transport.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ByteProcessor

/** Decodes requests, and encodes their responses without a body where a request asks for the head only. */
internal class RequestCodec(
    config: HttpDecoderConfig,
) : CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>() {
    private val unansweredMethods = ArrayDeque<HttpMethod>()
    private val decoder = RequestDecoder(config, onRequest = { unansweredMethods.addLast(it.method()) })

    /** Whether a part of a request has arrived that isn't complete, which may be some bytes of its head only. */
    val isReceiving: Boolean
        get() = decoder.isReceiving

    /** The number of bytes that have been read. */
    val readBytes: Long
        get() = decoder.readBytes

    init {
        init(decoder, ResponseEncoder { unansweredMethods.removeFirstOrNull() })
    }
}

private class RequestDecoder(
    config: HttpDecoderConfig,
    private val onRequest: (HttpRequest) -> Unit,
) : HttpRequestDecoder(config) {
    @Volatile
    var isReceiving = false
        private set
    var readBytes = 0L
        private set

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) readBytes += message.readableBytes()
        super.channelRead(ctx, message)
    }

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        // Clients may send line ends between requests.
        val begins = buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0
        val decodedBefore = out.size
        super.decode(ctx, buffer, out)
        val decoded = out.subList(decodedBefore, out.size)
        decoded.forEach { if (it is HttpRequest) onRequest(it) }
        isReceiving = decoded.lastOrNull() !is LastHttpContent && (isReceiving || begins)
    }
}

private class ResponseEncoder(
    private val nextMethod: () -> HttpMethod?,
) : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse): Boolean {
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val method = if (isInterim) null else nextMethod()
        return method == HttpMethod.HEAD || super.isContentAlwaysEmpty(response)
    }
}
