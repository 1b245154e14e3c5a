package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass

/**
 * Decodes responses, and tells whether more has arrived than was decoded.
 *
 * [answersHead] tells whether the response in progress is that to a `HEAD` request, which has no body.
 */
internal class ResponseDecoder(
    private val answersHead: () -> Boolean,
) : HttpResponseDecoder() {
    /** Whether bytes have arrived that are not decoded yet. Valid while a decoded message is being handled. */
    val hasMoreBytes: Boolean
        get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val final = message is HttpResponse && message.status().codeClass() != HttpStatusClass.INFORMATIONAL
        return (final && answersHead()) || super.isContentAlwaysEmpty(message)
    }
}
