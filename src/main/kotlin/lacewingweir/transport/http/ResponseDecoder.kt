package lacewingweir.transport.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass

/**
 * Decodes responses, and tells whether more has arrived than was decoded.
 *
 * Netty accepts any integer as a status. What a server in trouble sends would pass for its answer, so a status that
 * RFC 9110 doesn't allow makes a response malformed here. The decoder then fails with a [MalformedResponseException].
 *
 * [answersHead] tells whether the response in progress is that to a `HEAD` request, which has no body.
 */
internal class ResponseDecoder(
    private val answersHead: () -> Boolean,
) : HttpResponseDecoder() {
    private var inHead = false

    /** Whether bytes have arrived that are not decoded yet. Valid while a decoded message is being handled. */
    val hasMoreBytes: Boolean
        get() = actualReadableBytes() > 0

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        super.decode(context, buffer, out)
        if (!inHead) return
        val response = out.firstOrNull() as? HttpResponse ?: return
        if (response.decoderResult().isSuccess) {
            findDefect(response)?.let { response.decoderResult = DecoderResult.failure(it) }
        }
        inHead = false
    }

    private fun findDefect(response: HttpResponse): MalformedResponseException? =
        when {
            response.holdsAnotherHead() ->
                MalformedResponseException(ResponseDefect.HEAD_IN_HEAD, "a head inside a head")
            else -> null
        }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[1]
        if (!VALID_STATUS.matches(status)) {
            throw MalformedResponseException(ResponseDefect.STATUS, "status '$status'")
        }
        inHead = true
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val final = message is HttpResponse && message.status().codeClass() != HttpStatusClass.INFORMATIONAL
        return (final && answersHead()) || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        val VALID_STATUS = Regex("[1-5][0-9]{2}")
    }
}
