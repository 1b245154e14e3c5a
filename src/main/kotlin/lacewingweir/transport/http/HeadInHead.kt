package lacewingweir.transport.http

import io.netty.handler.codec.http.HttpResponse

private val statusLine = Regex("""HTTP/1\.\d \d{3}""")

/**
 * Returns whether the head of a response broke off and goes on with that of another one. Both decode as one head if the
 * first broke off in its reason phrase or in the value of a header.
 */
internal fun HttpResponse.holdsAnotherHead(): Boolean =
    statusLine.containsMatchIn(status().reasonPhrase()) ||
        headers().any { (_, value) -> "HTTP/" in value && statusLine.containsMatchIn(value) }
