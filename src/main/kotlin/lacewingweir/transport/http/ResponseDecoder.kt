package lacewingweir.transport.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.AsciiString

/**
 * Decodes responses, and tells whether more has arrived than was decoded.
 *
 * Netty reads responses leniently: it accepts any integer as a status and any version, ends the name of a field at the
 * first blank, joins folded lines and reads a body in an unknown transfer coding up to the end of the connection. What
 * a server in trouble sends would pass for its answer, so all of that makes a response malformed here, as RFC 9110 and
 * RFC 9112 require or allow. The decoder then fails with a [MalformedResponseException].
 *
 * [answersHead] tells whether the response in progress is that to a `HEAD` request, which has no body.
 */
internal class ResponseDecoder(
    private val answersHead: () -> Boolean,
) : HttpResponseDecoder() {
    /** Whether a status line has been decoded, but not the whole head behind it. */
    private var inHead = false
    private var hasFoldedLine = false

    /** The last byte of the present head that was scanned for folded lines. */
    private var lastByte: Byte = 0

    /** Whether bytes have arrived that are not decoded yet. Valid while a decoded message is being handled. */
    val hasMoreBytes: Boolean
        get() = actualReadableBytes() > 0

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val start = buffer.readerIndex()
        super.decode(context, buffer, out)
        if (!inHead) return
        // A message is given out as soon as its head ends, so all bytes that were read belong to the head.
        for (i in start until buffer.readerIndex()) scanForFolding(buffer.getByte(i))
        val response = out.firstOrNull() as? HttpResponse ?: return
        if (response.decoderResult().isSuccess) {
            findDefect(response)?.let { response.decoderResult = DecoderResult.failure(it) }
        }
        inHead = false
    }

    private fun scanForFolding(byte: Byte) {
        if (lastByte == LINE_FEED && (byte == SPACE || byte == TAB)) hasFoldedLine = true
        lastByte = byte
    }

    private fun findDefect(response: HttpResponse): MalformedResponseException? {
        val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            hasFoldedLine -> MalformedResponseException(ResponseDefect.LINE_FOLDING, "a line begins with a blank")
            codings.any { !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it) } ->
                MalformedResponseException(
                    ResponseDefect.TRANSFER_CODING,
                    "transfer coding '${codings.joinToString()}'",
                )
            response.holdsAnotherHead() ->
                MalformedResponseException(ResponseDefect.HEAD_IN_HEAD, "a head inside a head")
            else -> null
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        if (!VALID_VERSION.matches(version)) {
            throw MalformedResponseException(ResponseDefect.VERSION, "version '$version'")
        }
        // The client never asks a server to switch protocols.
        if (!VALID_STATUS.matches(status) || status == SWITCHING_PROTOCOLS) {
            throw MalformedResponseException(ResponseDefect.STATUS, "status '$status'")
        }
        inHead = true
        hasFoldedLine = false
        lastByte = 0
        return super.createMessage(initialLine)
    }

    /** Called for the fields of heads and of trailers. */
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        val name = super.splitHeaderName(line, start, length)
        // The name given ends at the colon, or at the first blank before it.
        if (line[start + length] != COLON) {
            throw MalformedResponseException(ResponseDefect.FIELD_NAME, "a blank behind '$name' in the name of a field")
        }
        return name
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val final = message is HttpResponse && message.status().codeClass() != HttpStatusClass.INFORMATIONAL
        return (final && answersHead()) || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val COLON = ':'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()

        /** RFC 9110 has a recipient read a higher minor version as the highest that it knows. */
        val VALID_VERSION = Regex("""HTTP/1\.[0-9]""")
        val VALID_STATUS = Regex("[1-5][0-9]{2}")
        val SWITCHING_PROTOCOLS: String = HttpResponseStatus.SWITCHING_PROTOCOLS.codeAsText().toString()
    }
}
